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
 * Ends that a worker lists later than others with higher numbers, or later than it has
 * ceased to list their runs as active.
 */
class LateListedEndsTests {

	private static final int TASKS = 10;

	private static final int LATE_TASK = 3;

	private static final long LATE_MILLIS = 8;

	private static final long RUN_MILLIS = 1000;

	private final SimulatedCell cell = new SimulatedCell();

	private SimulatedCell.Scheduler owner;

	@BeforeEach
	void startOwner() {
		this.cell.workers.add("w", new Resources(200_000, 100_000, 0));
		this.cell.withRunMillis(RUN_MILLIS);
		this.owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
	}

	private void startTasks() {
		this.cell.submit("job", SimulatedCell.step(TASKS, false));
		this.cell.time.runFor(300);
		assertThat(this.cell.workers.find("w").runningCount()).isEqualTo(TASKS);
	}

	private void replaceOwnerWhileTasksEnd() {
		this.owner.kill();
		this.cell.time.runFor(RUN_MILLIS);
		this.cell.restart(this.owner);
	}

	private void assertEachTaskWasStartedOnce() {
		this.cell.assertCompleted("job");
		for (int i = 0; i < TASKS; i++) {
			TaskKey task = new TaskKey("job", 0, 0, i);
			assertThat(this.cell.workers.startCount(task)).as(task.toString()).isEqualTo(1);
		}
	}

	private static long delayOfTwoTasks(TaskKey task) {
		return (task.index() == LATE_TASK || task.index() == TASKS - 1) ? 2 : 0;
	}

	private static long delayOfOneTask(TaskKey task) {
		return (task.index() == LATE_TASK) ? LATE_MILLIS : 0;
	}

	@Nested
	class AfterEndsWithHigherNumbers {

		@BeforeEach
		void listOneEndLate() {
			LateListedEndsTests.this.cell.workers.setLateEnds(LateListedEndsTests::delayOfOneTask, true);
			startTasks();
		}

		@Test
		void areNotAcknowledgedUnread() {
			LateListedEndsTests.this.cell.time.runFor(10_000);
			assertEachTaskWasStartedOnce();
		}

		@Test
		void areNotAcknowledgedUnreadByANewOwner() {
			replaceOwnerWhileTasksEnd();
			LateListedEndsTests.this.cell.time.runFor(10_000);
			assertEachTaskWasStartedOnce();
		}

	}

	@Nested
	class OfRunsThatOneReportListsNowhere {

		@BeforeEach
		void listTwoEndsInTheNextReportOnly() {
			LateListedEndsTests.this.cell.workers.setLateEnds(LateListedEndsTests::delayOfTwoTasks, false);
			startTasks();
		}

		@Test
		void areNotTakenForLostRuns() {
			LateListedEndsTests.this.cell.time.runFor(10_000);
			assertEachTaskWasStartedOnce();
		}

		@Test
		void areNotTakenForTasksToStartByANewOwner() {
			replaceOwnerWhileTasksEnd();
			LateListedEndsTests.this.cell.time.runFor(10_000);
			assertEachTaskWasStartedOnce();
		}

	}

	@Nested
	class ThatNeverCome {

		/** A poll in each direction, twice. */
		private static final long ROUND_TRIPS_MILLIS = 10;

		private static final long MAX_LISTING_DELAY_MILLIS = 100;

		@Test
		void loseTheirRunsOnceNoEndCanBeListedAnyMore() {
			startTasks();
			TaskKey task = new TaskKey("job", 0, 0, LATE_TASK);
			LateListedEndsTests.this.cell.workers.find("w").loseRun(task);
			LateListedEndsTests.this.cell.time
				.runFor(LateListedEndsTests.this.cell.workers.longPollMillis() + ROUND_TRIPS_MILLIS);
			assertThat(LateListedEndsTests.this.cell.decisions).noneMatch(JobDecision.TaskLost.class::isInstance);
			LateListedEndsTests.this.cell.time.runFor(MAX_LISTING_DELAY_MILLIS);
			assertThat(LateListedEndsTests.this.cell.decisions).filteredOn(JobDecision.TaskLost.class::isInstance)
				.hasSize(1);
			LateListedEndsTests.this.cell.time.runFor(10_000);
			LateListedEndsTests.this.cell.assertCompleted("job");
			assertThat(LateListedEndsTests.this.cell.workers.startCount(task)).isEqualTo(2);
		}

	}

	@Nested
	class WithNumbersThatAreNotUsed {

		@BeforeEach
		void skipEverySecondNumber() {
			LateListedEndsTests.this.cell.workers.setSequenceStep(2);
			startTasks();
		}

		@Test
		void areAcknowledgedNoMoreThanOneWriteLater() {
			LateListedEndsTests.this.cell.time.runFor(RUN_MILLIS);
			LateListedEndsTests.this.cell.time.runFor(OwnerLease.RENEWAL_INTERVAL_MILLIS);
			assertThat(LateListedEndsTests.this.cell.workers.find("w").unacknowledgedCount()).isZero();
			assertEachTaskWasStartedOnce();
			assertThat(LateListedEndsTests.this.cell.decisions).filteredOn(PoolDecision.EndsNotListed.class::isInstance)
				.hasSize(TASKS);
		}

	}

}
