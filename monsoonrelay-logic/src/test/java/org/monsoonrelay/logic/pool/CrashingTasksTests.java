package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskCrashes;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A task that crashes the workers that start it is given up, and its job has failed.
 * Tasks that only met a crash are not. Crashed workers restart under another id or under
 * that which they had.
 */
@ParameterizedClass
@EnumSource(RestartedId.class)
class CrashingTasksTests {

	private static final TaskKey TASK = new TaskKey("bad", 0, 0, 0);

	private static final long LEASE_EXPIRY_MILLIS = 10_500;

	private final RestartedId restartedId;

	private final SimulatedCell cell;

	CrashingTasksTests(RestartedId restartedId) {
		this.restartedId = restartedId;
		this.cell = newCell().withWorkers(6);
	}

	private SimulatedCell newCell() {
		SimulatedCell created = new SimulatedCell();
		created.workers.setRestartedId(this.restartedId);
		return created;
	}

	private CrashingTasks crashing(Predicate<TaskKey> tasks) {
		return new CrashingTasks(this.cell, tasks);
	}

	private static StepSpec longRunning() {
		StepSpec step = SimulatedCell.step(1, false);
		return new StepSpec(1, step.size(), step.estimateMillis(), step.dependsOn(), false, false, "", "", 0, false,
				false, true, false);
	}

	private void assertGivenUp(CrashingTasks crashing, String job) {
		assertThat(crashing.violations()).isEmpty();
		assertThat(this.cell.durableState(job)).isEqualTo(SubmissionState.FAILED);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	@Test
	void aTaskThatCrashesEachWorkerIsNotStartedWithoutLimit() {
		CrashingTasks crashing = crashing(TASK::equals);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("bad", SimulatedCell.step(1, false));
		this.cell.time.runFor(60_000);
		assertGivenUp(crashing, "bad");
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 100, 450 })
	void aTaskIsGivenUpHoweverLongItTakesToCrashAWorker(long millis) {
		CrashingTasks crashing = crashing(TASK::equals).afterMillis(millis);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("bad", SimulatedCell.step(1, false));
		this.cell.time.runFor(60_000);
		assertGivenUp(crashing, "bad");
	}

	@Test
	void aTaskIsGivenUpIfItsWorkersComeBackAfterTheirLeases() {
		CrashingTasks crashing = crashing(TASK::equals).withRestartMillis(LEASE_EXPIRY_MILLIS + 2000);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("bad", SimulatedCell.step(1, false));
		this.cell.time.runFor(90_000);
		assertGivenUp(crashing, "bad");
	}

	@Test
	void theOtherTasksOfItsJobStopAndItsDependentsNeverStart() {
		this.cell.withRunMillis(30_000);
		CrashingTasks crashing = crashing(TASK::equals);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("bad", SimulatedCell.step(1, false), SimulatedCell.step(2, false),
				SimulatedCell.step(1, false, 0));
		this.cell.time.runFor(20_000);
		assertGivenUp(crashing, "bad");
		assertThat(this.cell.workers.runningTaskCount()).isZero();
		assertThat(this.cell.workers.startCount(new TaskKey("bad", 0, 1, 0))).isPositive();
		assertThat(this.cell.workers.startCount(new TaskKey("bad", 0, 2, 0))).isZero();
	}

	@Test
	void theLogNamesTheTaskAndTheEvidence() {
		crashing(TASK::equals);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("bad", SimulatedCell.step(1, false));
		this.cell.time.runFor(30_000);
		assertThat(this.cell.decisions).filteredOn(JobDecision.TaskGivenUp.class::isInstance)
			.containsExactly(new JobDecision.TaskGivenUp("bad", TASK.toString(), 3, 0));
		assertThat(this.cell.decisions).filteredOn(JobDecision.TaskLost.class::isInstance)
			.extracting((decision) -> ((JobDecision.TaskLost) decision).crash())
			.containsOnly("CONFIRMED");
		assertThat(this.cell.logs.story("bad").causes()).anyMatch((cause) -> cause
			.startsWith("failed: " + TASK + " is not started again, as 3 workers crashed under it: attempt 1 on w"));
	}

	@Nested
	class WithATakeOver {

		@ParameterizedTest
		@ValueSource(longs = { 5, 40, 600, 2900, 3100, 3500 })
		void crashesStayCountedWheneverTheOwnerIsLost(long millisAfterTheCrash) {
			SimulatedCell cell = CrashingTasksTests.this.cell;
			CrashingTasks crashing = crashing(TASK::equals);
			cell.startOwnerAndStandby();
			cell.submit("bad", SimulatedCell.step(1, false));
			for (int i = 0; i < 4; i++) {
				int crashes = crashing.crashCount(TASK);
				for (int step = 0; step < 4000 && crashing.crashCount(TASK) == crashes; step++) {
					cell.time.runFor(5);
				}
				cell.time.runFor(millisAfterTheCrash);
				cell.owner().kill();
				cell.addScheduler();
				cell.time.runFor(2000);
			}
			cell.time.runFor(60_000);
			assertGivenUp(crashing, "bad");
		}

		@Test
		void aTaskIsNotStartedAgainBeforeItsCrashIsDurable() {
			SimulatedCell cell = CrashingTasksTests.this.cell;
			CrashingTasks crashing = crashing(TASK::equals);
			cell.startOwnerAndStandby();
			cell.submit("bad", SimulatedCell.step(1, false));
			cell.time.runFor(2500);
			assertThat(crashing.crashCount(TASK)).isEqualTo(1);
			cell.schedulers.forEach((scheduler) -> scheduler.tableClient.setWriteDelay(2500));
			cell.time.runFor(1500);
			assertThat(cell.workers.startCount(TASK)).isEqualTo(1);
		}

		// Guards against counting a crash without a start since the last crash.
		@Test
		void aTaskThatWaitsSinceItsLastCrashIsNotGivenUpAfterChangesOfOwners() {
			SimulatedCell cell = CrashingTasksTests.this.cell;
			CrashingTasks crashing = crashing((task) -> TASK.equals(task) && cell.workers.startCount(TASK) <= 2);
			cell.startOwnerAndStandby();
			List<WorkerInfo> intact = new ArrayList<>(cell.workers.listedWorkers());
			cell.submit("bad", SimulatedCell.step(1, false));
			for (int millis = 0; millis < 20_000 && !durableCrashes().equals(new TaskCrashes(2, 0)); millis++) {
				cell.time.runFor(1);
			}
			assertThat(crashing.crashCount(TASK)).isEqualTo(2);
			intact.retainAll(cell.workers.listedWorkers());
			takeOverWithout(intact.get(0).id());
			cell.withRunMillis(1_000_000);
			cell.submit("busy", SimulatedCell.step(20, false));
			cell.time.runFor(15_000);
			cell.withRunMillis(SimulatedCell.RUN_MILLIS);
			takeOverWithout(intact.get(1).id());
			cell.time.runFor(5000);
			assertThat(cell.workers.startCount(TASK)).isEqualTo(2);
			cell.cancel("busy");
			cell.time.runFor(30_000);
			assertThat(cell.decisions).filteredOn(JobDecision.TaskGivenUp.class::isInstance).isEmpty();
			cell.assertCompleted("bad");
			assertThat(cell.workers.startCount(TASK)).isEqualTo(3);
		}

		private TaskCrashes durableCrashes() {
			String stored = CrashingTasksTests.this.cell.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION,
					TASK.job());
			StepRecord step = stored.isEmpty() ? null
					: Json.read(stored, JobProgress.class).steps().get(TASK.stepKey().localName());
			return (step != null) ? step.crashes().getOrDefault(TASK.index(), TaskCrashes.NONE) : TaskCrashes.NONE;
		}

		// The recovery ends with the expiry of the worker's lease.
		private void takeOverWithout(String unreachable) {
			SimulatedCell cell = CrashingTasksTests.this.cell;
			SimulatedCell.Scheduler former = cell.owner();
			cell.schedulers.stream()
				.filter((scheduler) -> scheduler != former)
				.forEach((scheduler) -> scheduler.workerClient.disconnect(unreachable));
			former.kill();
			cell.addScheduler().workerClient.disconnect(unreachable);
			cell.time.runFor(3000);
			assertThat(cell.owner()).isNotSameAs(former);
		}

	}

	@Nested
	class TasksThatOnlyMetACrash {

		private static final int OTHER_JOBS = 24;

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
		void completeBesideSeveralCrashingTasks(long seed) {
			SimulatedCell cell = newCell().withWorkers(12).withRunMillis(900);
			CrashingTasks crashing = new CrashingTasks(cell, (task) -> task.job().startsWith("bad"));
			Random random = new Random(seed);
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < OTHER_JOBS; i++) {
				cell.submit("good" + i, SimulatedCell.step(1 + random.nextInt(4), random.nextInt(4) == 0));
				if (i % 6 == 0) {
					cell.submit("bad" + i, SimulatedCell.step(1, false));
				}
				cell.time.runFor(random.nextInt(400));
			}
			cell.time.runFor(60_000);
			assertThat(crashing.violations()).isEmpty();
			for (int i = 0; i < OTHER_JOBS; i++) {
				cell.assertCompleted("good" + i);
			}
			for (int i = 0; i < OTHER_JOBS; i += 6) {
				assertThat(cell.durableState("bad" + i)).isEqualTo(SubmissionState.FAILED);
			}
		}

		@Test
		void completeAfterPowerLossesOfTheirFailureDomain() {
			SimulatedCell cell = newCell().withRunMillis(4000);
			for (int i = 0; i < 4; i++) {
				cell.workers.add("w" + i, SimulatedCell.CAPACITY);
			}
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", SimulatedCell.step(8, false));
			cell.submit("gang", SimulatedCell.step(6, true));
			for (int i = 0; i < 3; i++) {
				cell.time.runFor(3000);
				cell.workers.crashAndRestartAll(CrashingTasks.RESTART_MILLIS);
				cell.time.runFor(CrashingTasks.RESTART_MILLIS);
			}
			cell.time.runFor(20_000);
			cell.assertCompleted("a", "gang");
		}

		@Test
		void completeAfterTheyWereCutOffSeveralTimes() {
			SimulatedCell cell = newCell().withWorkers(2).withRunMillis(6000);
			SimulatedCell.Scheduler owner = cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", SimulatedCell.step(2, false));
			for (int i = 0; i < 6; i++) {
				cell.time.runFor(2000);
				owner.workerClient.disconnect("w0");
				owner.workerClient.disconnect("w1");
				cell.time.runFor(LEASE_EXPIRY_MILLIS);
				owner.workerClient.reconnect("w0");
				owner.workerClient.reconnect("w1");
			}
			cell.time.runFor(20_000);
			cell.assertCompleted("a");
		}

		@Test
		void completeIfStartsNeverArrivedAtCrashedWorkers() {
			SimulatedCell cell = newCell().withWorkers(5);
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < 3; i++) {
				cell.workers.crashAndRestart(cell.workers.find("w" + i), 300);
			}
			cell.submit("a", SimulatedCell.step(20, false));
			cell.time.runFor(30_000);
			cell.assertCompleted("a");
			assertThat(cell.decisions).filteredOn(JobDecision.TaskLost.class::isInstance)
				.noneMatch((decision) -> ((JobDecision.TaskLost) decision).crash().equals("CONFIRMED"));
		}

		@Test
		void keepRunningIfTheyAreLongRunning() {
			SimulatedCell cell = newCell().withWorkers(6).withRunMillis(1_000_000);
			CrashingTasks crashing = new CrashingTasks(cell, TASK::equals).afterMillis(11_000);
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("bad", longRunning());
			cell.time.runFor(120_000);
			assertThat(crashing.crashCount(TASK)).isGreaterThan(4);
			assertThat(cell.durableState("bad")).isEqualTo(SubmissionState.RUNNING);
		}

	}

	@Nested
	class ThePool {

		@Test
		void losesFewWorkersAtATimeToAJobWithManyCrashingTasks() {
			SimulatedCell cell = newCell().withWorkers(24);
			CrashingTasks crashing = new CrashingTasks(cell, (task) -> task.job().equals("bad"));
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("bad", SimulatedCell.step(12, false));
			cell.time.runFor(60_000);
			assertThat(crashing.violations()).isEmpty();
			assertThat(cell.durableState("bad")).isEqualTo(SubmissionState.FAILED);
			assertThat(crashing.totalCrashes()).isLessThanOrEqualTo(12 + 12 + 1);
		}

		@Test
		void givesUpAGangWithAMemberThatCrashesItsWorker() {
			SimulatedCell cell = newCell().withWorkers(8).withRunMillis(20_000);
			CrashingTasks crashing = new CrashingTasks(cell, new TaskKey("bad", 0, 0, 2)::equals);
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("bad", SimulatedCell.step(6, true));
			cell.time.runFor(60_000);
			assertThat(crashing.violations()).isEmpty();
			assertThat(cell.durableState("bad")).isEqualTo(SubmissionState.FAILED);
			assertThat(cell.workers.violations()).isEmpty();
		}

		@Test
		void givesUpALongRunningTaskThatCrashesItsWorkersAtOnce() {
			SimulatedCell cell = newCell().withWorkers(6);
			CrashingTasks crashing = new CrashingTasks(cell, TASK::equals);
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("bad", longRunning());
			cell.time.runFor(60_000);
			assertThat(crashing.violations()).isEmpty();
			assertThat(cell.durableState("bad")).isEqualTo(SubmissionState.FAILED);
		}

	}

}
