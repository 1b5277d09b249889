package org.monsoonrelay.logic.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.rows.ProgressRow;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmissionState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against owners that acknowledge ends, or tell states, that the table does not
 * hold, and against pools that are left without an owner, after any sequence of writes
 * that are not answered, take effect late or never, are refused or rejected, on one to
 * three hosts whose owners are killed, stopped and suspended in between, beside workers
 * that restart or are cut off. By hand with more seeds:
 * {@code -Dunanswered.first=1 -Dunanswered.seeds=500}.
 */
class UnansweredWritesSeriesTests {

	private static final int JOBS = 80;

	private static final int MEAN_INTERVAL_MILLIS = 100;

	private static final int WORKERS = 6;

	private static final long TIMEOUT_MILLIS = 900;

	private static final long RESET_MILLIS = 8;

	/** Longest time after which a write without an answer takes effect. */
	private static final int MAX_LATENESS_MILLIS = 6000;

	/** Longer than the leases of all owners that were lost at the end. */
	private static final long CALM_MILLIS = 60_000;

	@TestFactory
	List<DynamicTest> whatIsAcknowledgedAndToldIsDurableAndAllJobsComplete() {
		long first = Long.getLong("unanswered.first", 1);
		return LongStream.range(first, first + Long.getLong("unanswered.seeds", 20))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final Random random;

		// Apart from the other disturbances, so that a seed draws those as without it.
		private final Random crashes;

		private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS);

		private final List<String> violations = new ArrayList<>();

		private final Deque<WriteAnswer> answers = new ArrayDeque<>();

		// Which write of an owner the sequence of answers begins with.
		private boolean beginsWithProgress;

		private boolean begun;

		Play(long seed) {
			this.random = new Random(seed);
			this.crashes = new Random(~seed);
			this.cell.withRunMillis((task) -> 50 + Math.floorMod(task.hashCode(), 900));
			this.cell.workers.observeAcknowledgedEnds(this::checkDurable);
			this.cell.observeToldStates((states) -> states.forEach(this::checkTold));
		}

		private Optional<ProgressRow> row(String job) {
			String value = this.cell.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, job);
			return value.isEmpty() ? Optional.empty() : Optional.of(Json.read(value, ProgressRow.class));
		}

		private void checkDurable(TerminatedTask end) {
			if (end.reason() != TerminationReason.DONE) {
				return;
			}
			boolean isDurable = row(end.task().job()).map(ProgressRow::progress).filter((progress) -> {
				Map<String, StepRecord> steps = progress.steps();
				StepRecord step = steps.get(end.task().occurrence() + "." + end.task().step());
				return progress.state().isFinal() || (step != null && step.done().contains(end.task().index()));
			}).isPresent();
			if (!isDurable) {
				this.violations.add("the end of " + end.task() + " is acknowledged and not durable");
			}
		}

		private void checkTold(String job, SubmissionState told) {
			SubmissionState durable = row(job).map((row) -> row.progress().state()).orElse(SubmissionState.QUEUED);
			if (durable.ordinal() < told.ordinal()) {
				this.violations.add(job + " is told as " + told + " and stored as " + durable);
			}
		}

		private WriteAnswer answer(PartitionWrite write) {
			boolean isOfOwner = write.partition().equals(JobTables.POOL_PARTITION);
			if (!isOfOwner || this.answers.isEmpty()) {
				return WriteAnswer.USUAL;
			}
			boolean hasProgress = write.puts().stream().anyMatch((put) -> put.table().equals(JobTables.PROGRESS));
			this.begun |= hasProgress == this.beginsWithProgress;
			return this.begun ? this.answers.poll() : WriteAnswer.USUAL;
		}

		private void disturbWrites() {
			this.begun = false;
			this.beginsWithProgress = this.random.nextBoolean();
			this.answers.clear();
			this.answers.add(unanswered());
			int length = 1 + this.random.nextInt(5);
			for (int i = 0; i < length; i++) {
				this.answers.add(switch (this.random.nextInt(6)) {
					case 0, 1 -> WriteAnswer.refused();
					case 2 -> WriteAnswer.rejected();
					case 3, 4 -> unanswered();
					default -> WriteAnswer.USUAL;
				});
			}
		}

		private WriteAnswer unanswered() {
			long effectMillis = switch (this.random.nextInt(3)) {
				case 0 -> 5;
				case 1 -> WriteAnswer.NEVER;
				default -> 5 + this.random.nextInt(MAX_LATENESS_MILLIS);
			};
			return WriteAnswer.unanswered(effectMillis, this.random.nextBoolean() ? TIMEOUT_MILLIS : RESET_MILLIS);
		}

		private void add(SimulatedCell.Scheduler scheduler) {
			scheduler.tableClient.answerWrites(this::answer);
		}

		void run() {
			int hosts = 1 + this.random.nextInt(3);
			for (int i = 0; i < hosts; i++) {
				add(this.cell.addScheduler());
				this.cell.time.runFor(500);
			}
			this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
			for (int i = 0; i < JOBS; i++) {
				StepSpec first = SimulatedCell.step(1 + this.random.nextInt(4), false);
				this.cell.submit("job" + i, first, SimulatedCell.step(1 + this.random.nextInt(2), false, 0));
				this.cell.time.runFor(this.random.nextInt(2 * MEAN_INTERVAL_MILLIS));
				if (this.random.nextInt(8) == 0) {
					disturbWrites();
				}
				if (this.random.nextInt(20) == 0) {
					loseOwner();
				}
				if (this.crashes.nextInt(15) == 0) {
					crashWorker();
				}
			}
			this.cell.time.runFor(CALM_MILLIS);
			check();
		}

		private void crashWorker() {
			List<WorkerInfo> listed = this.cell.workers.listedWorkers();
			String id = listed.get(this.crashes.nextInt(listed.size())).id();
			int millis = this.crashes.nextInt(4000);
			if (this.crashes.nextBoolean()) {
				this.cell.workers.crashAndRestart(this.cell.workers.find(id), millis);
				return;
			}
			this.cell.schedulers.forEach((scheduler) -> scheduler.workerClient.disconnect(id));
			this.cell.time.schedule(
					() -> this.cell.schedulers.forEach((scheduler) -> scheduler.workerClient.reconnect(id)), millis,
					TimeUnit.MILLISECONDS);
		}

		private void loseOwner() {
			Optional<SimulatedCell.Scheduler> owner = this.cell.schedulers.stream()
				.filter((scheduler) -> scheduler.owner().isPresent())
				.findFirst();
			owner.ifPresent(this::lose);
			this.cell.time.runFor(this.random.nextInt(1500));
		}

		private void lose(SimulatedCell.Scheduler owner) {
			switch (this.random.nextInt(3)) {
				case 0 -> restart(owner);
				case 1 -> {
					owner.stop();
					this.cell.time.runFor(this.random.nextInt(4000));
					restart(owner);
				}
				default -> {
					owner.process.suspend();
					this.cell.time.runFor(this.random.nextInt(4000));
					owner.process.resume();
				}
			}
		}

		private void restart(SimulatedCell.Scheduler owner) {
			owner.kill();
			this.cell.time.runFor(this.random.nextInt(500));
			add(this.cell.restart(owner));
		}

		private void check() {
			assertThat(this.violations).isEmpty();
			assertThat(this.cell.workers.violations()).isEmpty();
			for (int i = 0; i < JOBS; i++) {
				assertThat(this.cell.durableState("job" + i)).as("job" + i).isEqualTo(SubmissionState.COMPLETED);
			}
		}

	}

}
