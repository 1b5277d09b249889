package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.logic.pool.SimulatedWorkers.SimulatedWorker;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that is lost or done twice while cuts that outlast the leases
 * overlap between schedulers, the table, the other schedulers and failure domains with
 * workers, with slow writes, suspended schedulers, draining workers, restarts and changes
 * of the owner. Late requests are left out as in {@link RestartSeriesTests}. By hand with
 * more seeds: {@code -Dcuts.first=1 -Dcuts.seeds=500}.
 */
class CutSeriesTests {

	private static final int JOBS = 40;

	private static final int KINDS = 17;

	private static final int MIN_CUT_MILLIS = 1000;

	private static final int MAX_CUT_MILLIS = 20_000;

	private static final int MAX_RESTART_MILLIS = 3000;

	private static final int MAX_KILLS = 3;

	private static final long SETTLING_MILLIS = 40_000;

	private static final long CANCELLATION_MILLIS = 10_000;

	@TestFactory
	List<DynamicTest> noAcceptedJobIsLostAndNoTaskIsDoneTwice() {
		long first = Long.getLong("cuts.first", 1);
		return LongStream.range(first, first + Long.getLong("cuts.seeds", 15))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell();

		private final List<String> domains;

		private final Map<String, Integer> cuts = new HashMap<>();

		private final List<String> disturbances = new ArrayList<>();

		private int kills;

		Play(long seed) {
			this.random = new Random(seed);
			this.domains = List.of("porto", "gaia", "braga").subList(0, 2 + this.random.nextInt(2));
			this.cell.workers.setRestartedId(this.random.nextBoolean() ? RestartedId.SAME : RestartedId.NEW);
			this.cell.workers.setLosingLateRequests(true);
			this.cell.workers.setListDelayMillis(this.random.nextInt(2000));
			long maxRunMillis = 200 + this.random.nextInt(6000);
			this.cell.withRunMillis((task) -> isLongRunning(task.job()) ? Integer.MAX_VALUE
					: 100 + this.random.nextInt((int) maxRunMillis));
			for (String domain : this.domains) {
				for (int i = 0; i < 2; i++) {
					this.cell.workers.add(domain + i, SimulatedCell.CAPACITY, domain);
				}
			}
		}

		void run() {
			this.cell.startOwnerAndStandby();
			for (int i = this.random.nextInt(3); i > 0; i--) {
				this.cell.addScheduler();
			}
			this.cell.time.runFor(1000);
			for (int i = 0; i < JOBS; i++) {
				submit(i);
				if (this.random.nextInt(4) == 0) {
					disturb();
				}
				this.cell.time.runFor(this.random.nextInt(2000));
			}
			this.cell.time.runFor(MAX_CUT_MILLIS + SETTLING_MILLIS);
			for (int i = 0; i < JOBS; i++) {
				if (isLongRunning("job" + i)) {
					this.cell.cancel("job" + i);
				}
			}
			this.cell.time.runFor(CANCELLATION_MILLIS);
			check();
		}

		private static boolean isLongRunning(String job) {
			return job.endsWith("3");
		}

		private void submit(int number) {
			int count = 1 + this.random.nextInt(3);
			StepSpec step = SimulatedCell.step(count, this.random.nextInt(4) == 0);
			if (isLongRunning("job" + number)) {
				this.cell.submit("job" + number, new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS,
						List.of(), false, false, "", "", 0, false, false, true, false));
				return;
			}
			switch (this.random.nextInt(4)) {
				case 0 -> this.cell.submit("job" + number, step, SimulatedCell.step(2, false, 0));
				case 1 -> this.cell.submit("job" + number, 3,
						new Timetable(this.cell.time.millis(), this.random.nextInt(8000), 3), step);
				default -> this.cell.submit("job" + number, step);
			}
		}

		private void disturb() {
			switch (this.random.nextInt(KINDS)) {
				case 0, 1, 2, 3, 4 -> isolate(anyScheduler(), anyDomain());
				case 5 -> cut(anyScheduler(), anyDomain());
				case 6, 7 -> cutTable(anyScheduler());
				case 8 -> cutPeers(anyScheduler());
				case 9 -> cutOff(anyDomain());
				case 10, 11, 12, 13 -> drain();
				case 14 -> restart(anyWorker());
				case 15 -> replaceOwner();
				case 16 -> suspend(anyScheduler());
				default -> throw new IllegalStateException();
			}
		}

		private SimulatedCell.Scheduler anyScheduler() {
			boolean isOwner = this.cell.hasOwner() && this.random.nextBoolean();
			return isOwner ? this.cell.owner()
					: this.cell.schedulers.get(this.random.nextInt(this.cell.schedulers.size()));
		}

		private String anyDomain() {
			return this.domains.get(this.random.nextInt(this.domains.size()));
		}

		private SimulatedWorker anyWorker() {
			List<WorkerInfo> listed = this.cell.workers.listedWorkers();
			return this.cell.workers.find(listed.get(this.random.nextInt(listed.size())).id());
		}

		private int anyMillis() {
			return MIN_CUT_MILLIS + this.random.nextInt(MAX_CUT_MILLIS - MIN_CUT_MILLIS);
		}

		// A disturbance of one kind that overlaps with others of the same kind ends with
		// the last one.
		private void during(String name, int millis, Consumer<Boolean> set) {
			this.disturbances.add(this.cell.time.millis() + " " + name + " for " + millis);
			this.cuts.merge(name, 1, Integer::sum);
			set.accept(true);
			this.cell.time.schedule(() -> {
				if (this.cuts.merge(name, -1, Integer::sum) == 0) {
					set.accept(false);
				}
			}, millis, TimeUnit.MILLISECONDS);
		}

		private String name(SimulatedCell.Scheduler scheduler) {
			return "s" + this.cell.schedulers.indexOf(scheduler);
		}

		// The scheduler and the workers of its failure domain are cut off from all else.
		private void isolate(SimulatedCell.Scheduler scheduler, String domain) {
			int millis = anyMillis();
			during(name(scheduler) + " without table", millis, scheduler.tableClient::setDisconnected);
			for (SimulatedCell.Scheduler other : List.copyOf(this.cell.schedulers)) {
				if (other != scheduler) {
					disconnect(scheduler, other, millis);
					cut(other, domain, millis);
				}
			}
			this.domains.stream()
				.filter((other) -> !other.equals(domain))
				.forEach((other) -> cut(scheduler, other, millis));
		}

		private void disconnect(SimulatedCell.Scheduler one, SimulatedCell.Scheduler other, int millis) {
			int first = this.cell.schedulers.indexOf(one);
			int second = this.cell.schedulers.indexOf(other);
			during("s" + Math.min(first, second) + " without s" + Math.max(first, second), millis,
					(isCut) -> one.setDisconnectedFrom(other, isCut));
		}

		private void cut(SimulatedCell.Scheduler scheduler, String domain) {
			cut(scheduler, domain, anyMillis());
		}

		private void cut(SimulatedCell.Scheduler scheduler, String domain, int millis) {
			during(name(scheduler) + " without " + domain, millis,
					(isCut) -> scheduler.workerClient.setDisconnectedFrom(domain, isCut));
		}

		private void cutOff(String domain) {
			int millis = anyMillis();
			this.cell.schedulers.forEach((scheduler) -> cut(scheduler, domain, millis));
		}

		private void cutTable(SimulatedCell.Scheduler scheduler) {
			InMemoryTable.Client table = scheduler.tableClient;
			int delayMillis = 300 + this.random.nextInt(4000);
			switch (this.random.nextInt(5)) {
				case 0 -> during(name(scheduler) + " without table", anyMillis(), table::setDisconnected);
				case 1 -> during(name(scheduler) + " without reads", anyMillis(), table::setReadsDisconnected);
				case 2 -> during(name(scheduler) + " without writes", anyMillis(), table::setRejectsRequests);
				case 3 -> during(name(scheduler) + " with late writes", anyMillis(),
						(isCut) -> table.setWriteDelay(isCut ? delayMillis : 0));
				default -> during("late writes of all", anyMillis(),
						(isCut) -> this.cell.table.setWriteDelay(isCut ? delayMillis : 0));
			}
		}

		private void cutPeers(SimulatedCell.Scheduler scheduler) {
			int millis = anyMillis();
			this.cell.schedulers.stream()
				.filter((other) -> other != scheduler)
				.forEach((other) -> disconnect(scheduler, other, millis));
		}

		private void suspend(SimulatedCell.Scheduler scheduler) {
			during(name(scheduler) + " suspended", anyMillis(), (isSuspended) -> {
				if (isSuspended) {
					scheduler.process.suspend();
				}
				else {
					scheduler.process.resume();
				}
			});
		}

		private void drain() {
			SimulatedWorker worker = anyWorker();
			this.disturbances.add(this.cell.time.millis() + " " + worker.id() + " draining");
			this.cell.workers.drain(worker.id());
			this.cell.time.schedule(() -> restart(worker), this.random.nextInt(MAX_CUT_MILLIS), TimeUnit.MILLISECONDS);
		}

		private void restart(SimulatedWorker worker) {
			this.disturbances.add(this.cell.time.millis() + " " + worker.id() + " restarts");
			this.cell.workers.crashAndRestart(worker, this.random.nextInt(MAX_RESTART_MILLIS));
		}

		private void replaceOwner() {
			if (this.kills < MAX_KILLS && this.cell.hasOwner()) {
				this.kills++;
				this.disturbances.add(this.cell.time.millis() + " " + name(this.cell.owner()) + " killed");
				this.cell.owner().kill();
				this.cell.addScheduler();
			}
		}

		private String trace(String job) {
			return String.join("\n", this.disturbances) + '\n'
					+ String.join("\n", this.cell.logs.story(job).lines().stream().map(Object::toString).toList());
		}

		private void check() {
			List<String> violations = this.cell.workers.violations();
			assertThat(violations).as(() -> trace(jobIn(violations.get(0)))).isEmpty();
			for (int i = 0; i < JOBS; i++) {
				String job = "job" + i;
				assertThat(this.cell.durableState(job)).as(() -> job + '\n' + trace(job)).isEqualTo(expectedState(job));
			}
		}

		private static String jobIn(String violation) {
			return TaskKey.parse(violation.substring(violation.lastIndexOf(' ') + 1)).job();
		}

		private SubmissionState expectedState(String job) {
			boolean isGivenUp = this.cell.decisions.stream()
				.anyMatch(
						(decision) -> decision instanceof JobDecision.TaskGivenUp givenUp && givenUp.job().equals(job));
			if (isGivenUp) {
				return SubmissionState.FAILED;
			}
			return isLongRunning(job) ? SubmissionState.CANCELLED : SubmissionState.COMPLETED;
		}

	}

}
