package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rejected rows that stop other jobs, or that make tasks start after an
 * acknowledged end, while owners are killed, stopped and suspended. The rows of some jobs
 * are rejected for a while, as long as they run or for ever, others refused for a while;
 * at times all writes of owners are rejected. By hand with more seeds:
 * {@code -Drejected.first=1 -Drejected.seeds=500}.
 */
class RejectedProgressSeriesTests {

	private static final int JOBS = 100;

	private static final int MEAN_INTERVAL_MILLIS = 60;

	private static final int WORKERS = 12;

	/** Makes jobs of a few dozen tasks use the form for large progress. */
	private static final int MAX_ROW_BYTES = 2000;

	/** Too short for the three rejections after which a job is given up. */
	private static final int MAX_REJECTION_MILLIS = 1000;

	/** Too short for the refusals after which a job is given up. */
	private static final int MAX_REFUSAL_MILLIS = 10_000;

	@TestFactory
	List<DynamicTest> otherJobsCompleteAndNoTaskStartsAgain() {
		long first = Long.getLong("rejected.first", 1);
		return LongStream.range(first, first + Long.getLong("rejected.seeds", 10))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	/** When the table rejects the progress of a job. */
	private enum Rejection {

		NEVER, FOR_A_WHILE, WHILE_IT_RUNS, ALWAYS

	}

	private static final class Play {

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS).withMaxRowBytes(MAX_ROW_BYTES);

		private final Set<String> rejectedForAWhile = new HashSet<>();

		// Apart from the other disturbances, so that a seed draws those as without it.
		private final Random refusals;

		private final Set<String> refusedForAWhile = new HashSet<>();

		private boolean isEverythingRejected;

		Play(long seed) {
			this.random = new Random(seed);
			this.refusals = new Random(~seed);
			this.cell.withRunMillis((task) -> 50 + Math.floorMod(task.hashCode(), 900));
			this.cell.table.rejectWrites((write) -> (this.isEverythingRejected && isOfOwner(write))
					|| write.puts().stream().anyMatch((put) -> isTooLarge(put) || isRejected(put)));
			this.cell.table.refuseWrites((write) -> write.puts()
				.stream()
				.anyMatch(
						(put) -> put.table().equals(JobTables.PROGRESS) && this.refusedForAWhile.contains(put.key())));
		}

		private static boolean isOfOwner(PartitionWrite write) {
			return write.partition().equals(JobTables.POOL_PARTITION);
		}

		private static boolean isTooLarge(PartitionWrite.Put put) {
			return put.table().equals(JobTables.PROGRESS) && put.value().length() > MAX_ROW_BYTES;
		}

		private boolean isRejected(PartitionWrite.Put put) {
			if (!put.table().equals(JobTables.PROGRESS)) {
				return false;
			}
			return switch (rejection(put.key())) {
				case NEVER -> false;
				case FOR_A_WHILE -> this.rejectedForAWhile.contains(put.key());
				case WHILE_IT_RUNS -> put.value().contains(SubmissionState.RUNNING.name());
				case ALWAYS -> true;
			};
		}

		private static Rejection rejection(String job) {
			return switch (Integer.parseInt(job.substring("job".length())) % 20) {
				case 3, 10, 17 -> Rejection.FOR_A_WHILE;
				case 7 -> Rejection.WHILE_IT_RUNS;
				case 14 -> Rejection.ALWAYS;
				default -> Rejection.NEVER;
			};
		}

		void run() {
			this.cell.startOwnerAndStandby();
			this.cell.addScheduler();
			this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
			for (int i = 0; i < JOBS; i++) {
				submit("job" + i);
				this.cell.time.runFor(this.random.nextInt(2 * MEAN_INTERVAL_MILLIS));
				if (this.random.nextInt(25) == 0) {
					loseOwner();
				}
				if (this.random.nextInt(40) == 0) {
					rejectEverything();
				}
			}
			this.cell.time.runFor(60_000);
			check();
		}

		private void submit(String job) {
			boolean isTimetabled = this.random.nextInt(10) == 0;
			int tasks = isTimetabled ? 1 : 1 + this.random.nextInt((this.random.nextInt(10) == 0) ? 100 : 5);
			StepSpec first = SimulatedCell.step(tasks, false);
			StepSpec second = SimulatedCell.step(1 + this.random.nextInt(3), false, 0);
			Timetable timetable = isTimetabled ? new Timetable(this.cell.time.millis() + 100, 150, 20)
					: Timetable.AT_ONCE;
			this.cell.submit(job, 3, timetable, first, second);
			if (rejection(job) == Rejection.NEVER && this.refusals.nextInt(10) == 0) {
				this.refusedForAWhile.add(job);
				this.cell.time.schedule((Runnable) () -> this.refusedForAWhile.remove(job),
						this.refusals.nextInt(MAX_REFUSAL_MILLIS), TimeUnit.MILLISECONDS);
			}
			if (rejection(job) == Rejection.FOR_A_WHILE) {
				this.rejectedForAWhile.add(job);
				this.cell.time.schedule((Runnable) () -> this.rejectedForAWhile.remove(job),
						this.random.nextInt(MAX_REJECTION_MILLIS), TimeUnit.MILLISECONDS);
			}
		}

		private void rejectEverything() {
			this.isEverythingRejected = true;
			this.cell.time.runFor(this.random.nextInt(4000));
			this.isEverythingRejected = false;
		}

		private void loseOwner() {
			for (int i = 0; i < 1000 && !this.cell.hasOwner(); i++) {
				this.cell.time.runFor(20);
			}
			SimulatedCell.Scheduler owner = this.cell.owner();
			switch (this.random.nextInt(3)) {
				case 0 -> restart(owner);
				case 1 -> {
					owner.stop();
					this.cell.time.runFor(100);
					restart(owner);
				}
				default -> {
					owner.process.suspend();
					this.cell.time.runFor(3000);
					owner.process.resume();
					this.cell.addScheduler();
				}
			}
			this.cell.time.runFor(this.random.nextInt(1500));
		}

		private void restart(SimulatedCell.Scheduler owner) {
			owner.kill();
			this.cell.restart(owner);
		}

		private void check() {
			assertThat(this.cell.workers.violations()).isEmpty();
			for (int i = 0; i < JOBS; i++) {
				String job = "job" + i;
				switch (rejection(job)) {
					case NEVER, FOR_A_WHILE ->
						assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
					case WHILE_IT_RUNS -> assertThat(this.cell.durableState(job)).as(job)
						.isIn(SubmissionState.COMPLETED, SubmissionState.FAILED);
					case ALWAYS -> assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.QUEUED);
				}
			}
		}

	}

}
