package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class UnknownJobsTests {

	private static final TaskKey TASK = new TaskKey("late", 0, 0, 0);

	/** Time after which the owner has polled the worker, milliseconds. */
	private static final long POLLED_MILLIS = 500;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(1);

	/**
	 * Starts a task as a former owner, before any scheduler runs.
	 * @param millis how long the task runs, milliseconds
	 */
	private void startTaskOfFormerOwner(long millis) {
		this.cell.withRunMillis(millis);
		WorkerInfo worker = this.cell.workers.listedWorkers().get(0);
		long lease = this.cell.time.millis() + OwnerLease.MAX_REQUEST_VALIDITY_MILLIS;
		this.cell.workers.client().start(worker, new RunStartRequest(TASK, 1, "text", lease, 0, "", ""));
		this.cell.time.runFor(10);
		this.cell.withRunMillis(SimulatedCell.RUN_MILLIS);
	}

	private void assertCompletedOnce() {
		assertThat(this.cell.durableState(TASK.job())).isEqualTo(SubmissionState.COMPLETED);
		assertThat(this.cell.workers.startCount(TASK)).isEqualTo(1);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	@Nested
	class WhoseRowIsReadLater {

		@Test
		void keepTheirRuns() {
			startTaskOfFormerOwner(3000);
			UnknownJobsTests.this.cell.addScheduler();
			UnknownJobsTests.this.cell.time.runFor(POLLED_MILLIS);
			assertThat(UnknownJobsTests.this.cell.workers.runningTaskCount()).isEqualTo(1);
			UnknownJobsTests.this.cell.submit(TASK.job(), SimulatedCell.step(1, false));
			UnknownJobsTests.this.cell.time.runFor(4000);
			assertCompletedOnce();
		}

		@Test
		void keepTheirEnds() {
			startTaskOfFormerOwner(100);
			UnknownJobsTests.this.cell.time.runFor(200);
			UnknownJobsTests.this.cell.addScheduler();
			UnknownJobsTests.this.cell.time.runFor(POLLED_MILLIS);
			UnknownJobsTests.this.cell.submit(TASK.job(), SimulatedCell.step(1, false));
			UnknownJobsTests.this.cell.time.runFor(1500);
			assertCompletedOnce();
		}

		@Test
		void doNotAffectTheEndsOfOtherJobs() {
			startTaskOfFormerOwner(700);
			UnknownJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnknownJobsTests.this.cell.addScheduler();
			UnknownJobsTests.this.cell.time.runFor(2500);
			UnknownJobsTests.this.cell.submit(TASK.job(), SimulatedCell.step(1, false));
			UnknownJobsTests.this.cell.time.runFor(1500);
			assertCompletedOnce();
			assertThat(UnknownJobsTests.this.cell.durableState("known")).isEqualTo(SubmissionState.COMPLETED);
			assertThat(UnknownJobsTests.this.cell.workers.startCount(new TaskKey("known", 0, 0, 0))).isEqualTo(1);
		}

	}

	@Nested
	class WhoseRowIsNeverFound {

		@Test
		void areStoppedAndFreeTheirCapacity() {
			startTaskOfFormerOwner(60_000);
			UnknownJobsTests.this.cell.addScheduler();
			UnknownJobsTests.this.cell.time.runFor(UnknownJobs.ROW_WAIT_MILLIS + 2000);
			assertThat(UnknownJobsTests.this.cell.workers.runningTaskCount()).isZero();
			UnknownJobsTests.this.cell.submit("known", SimulatedCell.step(4, false));
			UnknownJobsTests.this.cell.time.runFor(2000);
			assertThat(UnknownJobsTests.this.cell.durableState("known")).isEqualTo(SubmissionState.COMPLETED);
		}

	}

}
