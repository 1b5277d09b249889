package org.monsoonrelay.logic.pool;

import java.util.List;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.explain.JobTimeline;
import org.monsoonrelay.logic.explain.LogLine;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Finds the cause of a failure from a job's or task's id, using only the log lines that a
 * simulated cell wrote.
 */
class JobDiagnosisTests {

	private static final long LEASE_EXPIRED_MILLIS = 10_000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	private static List<String> events(JobTimeline story) {
		return story.lines().stream().map(LogLine::event).distinct().toList();
	}

	private static String causes(JobTimeline story) {
		return String.join("\n", story.causes());
	}

	private static void assertAtMostTwelveLines(JobTimeline story) {
		assertThat(story.formatCondensed()).hasSizeBetween(1, 12);
	}

	@Test
	void aLateJobWaitedForCapacity() {
		this.cell.withEligibility().addScheduler();
		this.cell.time.runFor(500);
		for (int i = 0; i < 30; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(4, false));
		}
		this.cell.time.runFor(8000);
		String late = this.cell.decisions.stream()
			.filter((decision) -> decision instanceof JobDecision.JobEnded end && end.lateMillis() > 0)
			.map((decision) -> ((JobDecision.JobEnded) decision).job())
			.reduce((earlier, later) -> later)
			.orElseThrow();
		JobTimeline story = this.cell.logs.story(late);
		assertThat(events(story)).containsExactly("JobLearnt", "EligibilityAnswered", "StepWaiting", "TaskPlaced",
				"TaskEnded", "JobEnded");
		assertThat(causes(story)).contains("COMPLETED after")
			.contains(" ms late: ")
			.contains("the most of it waiting for room before its first start");
		assertAtMostTwelveLines(story);
	}

	@Nested
	class ATaskThatWasLost {

		private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

		@Test
		void wasLostAsItsWorkerRestartedUnderItsId() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(2000);
			cell.workers.setRestartedId(SimulatedWorkers.RestartedId.SAME);
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(300);
			String holder = cell.workers.workerRunning(TASK);
			cell.workers.crashAndRestart(cell.workers.find(holder), 100);
			cell.time.runFor(6000);
			JobTimeline story = cell.logs.story("a");
			assertThat(events(story)).containsSubsequence("TaskPlaced", "WorkerRestarted", "WorkerLost", "TaskLost",
					"TaskEnded", "JobEnded");
			assertThat(causes(story)).contains("1 runs were lost with worker " + holder + ": its worker has restarted");
			assertAtMostTwelveLines(story);
		}

		@Test
		void wasFoundOnAnotherWorkerAfterItHadEnded() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis((task) -> (task.index() == 0) ? 200 : 3000);
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", SimulatedCell.step(2, false));
			cell.time.runFor(100);
			String other = cell.workers.workerRunning(TASK).equals("w0") ? "w1" : "w0";
			cell.time.runFor(400);
			long now = cell.time.millis();
			cell.workers.find(other).start(new RunStartRequest(TASK, 1, "text", now + 1000, 1, "", ""), now);
			cell.time.runFor(300);
			JobTimeline story = cell.logs.story("a");
			assertThat(events(story)).containsSubsequence("TaskEnded", "UnexpectedRun", "TaskStopped");
			assertThat(causes(story)).contains("attempt 1 of a.0.0.0 was found active on " + other + " started at ")
				.contains(", its start was sent to w")
				.contains("; the owner knew the task as DONE and stopped it");
		}

		@Test
		void wasLostWithItsWorker() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(2000);
			cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(300);
			String holder = cell.workers.workerRunning(TASK);
			cell.workers.crash(holder);
			cell.time.runFor(LEASE_EXPIRED_MILLIS + 4000);
			JobTimeline story = cell.logs.story("a");
			assertThat(events(story)).containsExactly("JobLearnt", "TaskPlaced", "WorkerSilent", "WorkerLost",
					"TaskLost", "TaskEnded", "JobEnded");
			assertThat(cell.decisions).filteredOn(JobDecision.TaskLost.class::isInstance)
				.first(InstanceOfAssertFactories.type(JobDecision.TaskLost.class))
				.satisfies((lost) -> {
					assertThat(lost.cause()).isEqualTo("LEASE_EXPIRED");
					assertThat(lost.confirmed()).isTrue();
					assertThat(lost.otherRuns()).isZero();
				});
			assertThat(causes(story)).contains("1 runs were lost with worker " + holder + ": its lease has lapsed")
				.contains("it was silent before: ")
				.contains("a.0.0.0 was placed again as attempt 2 on ");
			assertAtMostTwelveLines(story);
			assertThat(causes(cell.logs.story(TASK.toString()))).contains("1 runs were lost with worker " + holder);
		}

		@Test
		void wasLostWithItsOwnerAndIsLoggedByTheNextOwner() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(6000);
			SimulatedCell.Scheduler first = cell.startOwnerAndStandby();
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(300);
			first.kill();
			cell.time.runFor(LEASE_EXPIRED_MILLIS);
			JobTimeline story = cell.logs.story("a");
			assertThat(events(story)).containsSubsequence("JobLearnt", "TaskPlaced", "OwnershipTaken", "TaskEnded",
					"JobEnded");
			assertThat(story.lines()).filteredOn((line) -> line.event().equals("TaskPlaced"))
				.extracting(LogLine::source)
				.containsExactly("s0first");
			assertThat(causes(story)).contains("1 runs ended that an earlier owner had started")
				.contains("s1first took the pool over from s0 as epoch 200")
				.contains("had loaded all jobs after ");
			assertAtMostTwelveLines(story);
		}

		@Test
		void wasLostWithItsOwnerAndWorkerAndRunsAgainUnderTheNextOwner() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(3000);
			SimulatedCell.Scheduler first = cell.startOwnerAndStandby();
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(300);
			cell.workers.crash(cell.workers.workerRunning(TASK));
			first.kill();
			cell.time.runFor(3 * LEASE_EXPIRED_MILLIS);
			JobTimeline story = cell.logs.story("a");
			assertThat(story.lines()).filteredOn((line) -> line.event().equals("TaskPlaced"))
				.extracting(LogLine::source)
				.containsExactly("s0first", "s1first");
			assertThat(events(story)).containsSubsequence("TaskPlaced", "OwnershipTaken", "TaskEnded", "JobEnded");
			assertThat(causes(story)).contains("s1first took the pool over as epoch 200")
				.contains("had heard of all workers after ");
			assertAtMostTwelveLines(story);
		}

	}

	/**
	 * Incidents that are described under docs/incidents, as far as a simulated cell
	 * reproduces their log lines.
	 */
	@Nested
	class Incidents {

		@Test
		void aPartitionWasUnresponsiveToANewOwner() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(3000);
			SimulatedCell.Scheduler first = cell.startOwnerAndStandby();
			cell.submit("silent", SimulatedCell.step(1, false), SimulatedCell.step(1, false, 0));
			cell.time.runFor(300);
			cell.table.blockReads(JobTables.partition("silent"));
			first.kill();
			cell.time.runFor(8000);
			assertThat(causes(cell.logs.story("silent"))).contains("no line tells its end")
				.contains("s1first took the pool over as epoch 200")
				.contains("no line tells that it had loaded all jobs");
		}

		@Test
		void startsFailedDuringANetworkPartition() {
			SimulatedCell cell = JobDiagnosisTests.this.cell;
			SimulatedCell.Scheduler owner = cell.addScheduler();
			cell.time.runFor(1000);
			for (int i = 0; i < 3; i++) {
				owner.workerClient.disconnect("w" + i);
			}
			cell.submit("a", SimulatedCell.step(2, false));
			cell.time.runFor(600);
			JobTimeline story = cell.logs.story("a");
			assertThat(events(story)).contains("StartFailed");
			assertThat(causes(story)).contains("starts that failed: {NO_ANSWER at w");
		}

		@Test
		void aTaskWaitsBecauseAnUnansweredStartMayStillBeExecuted() {
			SimulatedCell cell = JobDiagnosisTests.this.cell;
			cell.workers.setRestartedId(SimulatedWorkers.RestartedId.SAME);
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < 3; i++) {
				cell.workers.find("w" + i).setStartDelayMillis(LEASE_EXPIRED_MILLIS);
			}
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(600);
			cell.workers.crashAndRestartAll(50);
			cell.time.runFor(2000);
			JobTimeline story = cell.logs.story("a");
			assertThat(events(story)).containsSubsequence("StartFailed", "TaskLost", "StartUnresolved");
			assertThat(causes(story)).contains("a.0.0.0 waited, as the start of attempt 1 sent to w")
				.contains("; it counts as lost at an age of 12500 ms and was ");
		}

		@Test
		void aGangFoundNoFreeCapacity() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(60_000).withEligibility();
			cell.addScheduler();
			cell.time.runFor(1000);
			cell.submit("long", SimulatedCell.step(11, false));
			cell.time.runFor(500);
			cell.submit("gang", SimulatedCell.step(4, true));
			cell.time.runFor(3000);
			assertThat(causes(cell.logs.story("gang"))).contains("no line tells its end: step 0.0 was not placed")
				.contains("so that it waited for room on those");
		}

		@Test
		void twoOwnersSawTheAttempts() {
			SimulatedCell cell = new SimulatedCell();
			cell.workers.add("w0", SimulatedCell.CAPACITY).setFailing(true);
			cell.workers.add("w1", SimulatedCell.CAPACITY).setFailing(true);
			SimulatedCell.Scheduler first = cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", 2, SimulatedCell.step(1, false));
			cell.time.runFor(150);
			cell.table.setDown(true);
			cell.time.runFor(1200);
			first.kill();
			cell.table.setDown(false);
			cell.addScheduler();
			cell.time.runFor(LEASE_EXPIRED_MILLIS);
			JobTimeline story = cell.logs.story("a");
			assertThat(causes(story)).contains("failed: 1 tasks failed, most often a.0.0.0: attempt 1 on ")
				.contains("s1first took the pool over as epoch 200");
			assertThat(story.lines().stream().map((line) -> line.event() + ' ' + line.source())).containsSubsequence(
					"TaskPlaced s0first", "TaskEnded s0first", "OwnershipTaken s1first", "JobEnded s1first");
		}

		@Test
		void allHostsOfACellWereRestarted() {
			SimulatedCell cell = JobDiagnosisTests.this.cell.withRunMillis(1000);
			cell.startOwnerAndStandby();
			cell.submit("a", SimulatedCell.step(3, false));
			cell.time.runFor(300);
			cell.schedulers.forEach(SimulatedCell.Scheduler::kill);
			cell.schedulers.clear();
			cell.time.runFor(2000);
			cell.addScheduler("restarted");
			cell.time.runFor(3000);
			assertThat(causes(cell.logs.story("a"))).contains("COMPLETED after ")
				.contains("s0restarted took the pool over as epoch 200")
				.contains("had heard of all workers after ");
		}

	}

}
