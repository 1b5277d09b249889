package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers on which more tasks have ended than one report lists.
 */
class CutListsOfEndsTests {

	private static final int TASKS = 80;

	private static final int MAX_LISTED_ENDS = 25;

	private static final long RUN_MILLIS = 2000;

	private static final Resources CAPACITY = new Resources(200_000, 100_000, 0);

	private final SimulatedCell cell = new SimulatedCell();

	private SimulatedCell.Scheduler owner;

	@BeforeEach
	void startOwner() {
		this.cell.workers.setMaxListedEnds(MAX_LISTED_ENDS);
		this.cell.workers.add("w", CAPACITY);
		this.cell.withRunMillis(RUN_MILLIS);
		this.owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
	}

	private void submitTasks() {
		this.cell.submit("job", SimulatedCell.step(TASKS, false));
	}

	private void startTasks() {
		submitTasks();
		this.cell.time.runFor(500);
		assertThat(this.cell.workers.find("w").runningCount()).isEqualTo(TASKS);
	}

	private void assertEachTaskWasStartedOnce() {
		this.cell.assertCompleted("job");
		for (int i = 0; i < TASKS; i++) {
			TaskKey task = new TaskKey("job", 0, 0, i);
			assertThat(this.cell.workers.startCount(task)).as(task.toString()).isEqualTo(1);
		}
	}

	@Nested
	class AfterATakeOver {

		@Test
		void startNoTaskAgainWhoseEndIsListedLater() {
			startTasks();
			CutListsOfEndsTests.this.owner.kill();
			CutListsOfEndsTests.this.cell.time.runFor(RUN_MILLIS);
			CutListsOfEndsTests.this.cell.restart(CutListsOfEndsTests.this.owner);
			CutListsOfEndsTests.this.cell.time.runFor(5000);
			assertEachTaskWasStartedOnce();
		}

	}

	@Nested
	class ThatNeverEnd {

		@Test
		void keepNewOwnersWaitingForTheFormerLeasesOnlyAndLeasesGoOn() {
			CutListsOfEndsTests.this.cell.withRunMillis(20_000);
			startTasks();
			CutListsOfEndsTests.this.cell.workers.setMaxListedEnds(0);
			CutListsOfEndsTests.this.owner.kill();
			CutListsOfEndsTests.this.cell.restart(CutListsOfEndsTests.this.owner);
			CutListsOfEndsTests.this.cell.time.runFor(15_000);
			assertThat(CutListsOfEndsTests.this.cell.decisions)
				.filteredOn(PoolDecision.WorkersAccounted.class::isInstance)
				.hasSize(2)
				.last()
				.satisfies((decision) -> assertThat(((PoolDecision.WorkersAccounted) decision).tookMillis())
					.isLessThanOrEqualTo(9400));
			CutListsOfEndsTests.this.cell.workers.setMaxListedEnds(MAX_LISTED_ENDS);
			CutListsOfEndsTests.this.cell.time.runFor(10_000);
			assertEachTaskWasStartedOnce();
		}

	}

	@Nested
	class WhileTheTableIsDown {

		@Test
		void startNoTaskAgainWhoseEndIsListedLater() {
			startTasks();
			CutListsOfEndsTests.this.cell.table.setDown(true);
			CutListsOfEndsTests.this.cell.time.runFor(4300);
			CutListsOfEndsTests.this.cell.table.setDown(false);
			CutListsOfEndsTests.this.cell.time.runFor(5000);
			assertEachTaskWasStartedOnce();
		}

	}

	@Nested
	class WhileTheTableIsDownForLongerThanTheFormerLeases {

		@Test
		void startNoTaskAgainWhoseEndIsListedLater() {
			startTasks();
			CutListsOfEndsTests.this.owner.kill();
			CutListsOfEndsTests.this.cell.time.runFor(RUN_MILLIS);
			CutListsOfEndsTests.this.cell.restart(CutListsOfEndsTests.this.owner);
			while (!areFirstEndsAndJobsRead()) {
				CutListsOfEndsTests.this.cell.time.runFor(1);
			}
			CutListsOfEndsTests.this.cell.table.setDown(true);
			CutListsOfEndsTests.this.cell.time.runFor(12_000);
			assertThat(CutListsOfEndsTests.this.cell.decisions)
				.filteredOn(PoolDecision.InheritedRunsUnread.class::isInstance)
				.containsExactly(new PoolDecision.InheritedRunsUnread("w", true, 0));
			CutListsOfEndsTests.this.cell.table.setDown(false);
			CutListsOfEndsTests.this.cell.time.runFor(5000);
			assertEachTaskWasStartedOnce();
		}

		private boolean areFirstEndsAndJobsRead() {
			long loads = CutListsOfEndsTests.this.cell.decisions.stream()
				.filter(PoolDecision.ProgressLoaded.class::isInstance)
				.count();
			return loads == 2 && CutListsOfEndsTests.this.cell.decisions.stream()
				.anyMatch(
						(decision) -> decision instanceof PoolDecision.WorkerReported reported && reported.ends() > 0);
		}

	}

	@Nested
	class OfAWorkerThatRestartsUnderItsId {

		@Test
		void loseNoRunWhoseEndIsListedLater() {
			CutListsOfEndsTests.this.cell.workers.setRestartedId(SimulatedWorkers.RestartedId.SAME);
			CutListsOfEndsTests.this.cell.withRunMillis(300);
			CutListsOfEndsTests.this.cell.workers.find("w").setStartDelayMillis(1500);
			submitTasks();
			CutListsOfEndsTests.this.cell.time.runFor(300);
			CutListsOfEndsTests.this.owner.workerClient.disconnect("w");
			CutListsOfEndsTests.this.cell.workers.crashAndRestart(CutListsOfEndsTests.this.cell.workers.find("w"), 500);
			CutListsOfEndsTests.this.cell.time.runFor(2000);
			CutListsOfEndsTests.this.owner.workerClient.reconnect("w");
			CutListsOfEndsTests.this.cell.time.runFor(30_000);
			assertThat(CutListsOfEndsTests.this.cell.decisions).filteredOn(JobDecision.TaskLost.class::isInstance)
				.isEmpty();
			assertEachTaskWasStartedOnce();
		}

	}

}
