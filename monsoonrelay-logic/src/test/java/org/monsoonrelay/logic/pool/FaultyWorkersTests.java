package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Jobs complete although workers crash, become unreachable, fail all runs, or delay or
 * lose responses. No task runs twice at the same time, and no worker exceeds its
 * capacity.
 */
class FaultyWorkersTests {

	private static final long LEASE_EXPIRY_MILLIS = 10_000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	private void assertCompleted(String job) {
		assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	@Test
	void aTaskWhoseStartIsUnansweredRunsOnOneWorkerOnly() {
		this.cell.workers.add("w9", SimulatedCell.CAPACITY).setLosesStartResponses(true);
		this.cell.addScheduler();
		this.cell.submit("a", SimulatedCell.step(14, false));
		this.cell.time.runFor(6000);
		assertCompleted("a");
	}

	@Test
	void aDelayedStartNeitherExceedsTheCapacityNorRunsATaskTwice() {
		SimulatedWorkers.SimulatedWorker delayedWorker = this.cell.workers.add("w9", SimulatedCell.CAPACITY);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		delayedWorker.setStartDelayMillis(3000);
		for (int i = 0; i < 6; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(5, i % 2 == 0));
		}
		this.cell.time.runFor(2500);
		delayedWorker.setStartDelayMillis(0);
		this.cell.time.runFor(LEASE_EXPIRY_MILLIS);
		for (int i = 0; i < 6; i++) {
			assertCompleted("job" + i);
		}
	}

	@Test
	void tasksOfACrashedWorkerAreRestartedAfterItsLeaseExpires() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		SimulatedWorkers.SimulatedWorker crashedWorker = this.cell.workers.add("w9", SimulatedCell.CAPACITY);
		this.cell.time.runFor(1000);
		this.cell.submit("a", SimulatedCell.step(16, true));
		this.cell.time.runFor(200);
		assertThat(crashedWorker.runningCount()).isPositive();
		crashedWorker.crash();
		crashedWorker.removeFromList();
		this.cell.workers.add("w10", SimulatedCell.CAPACITY);
		this.cell.time.runFor(LEASE_EXPIRY_MILLIS);
		assertCompleted("a");
	}

	@Test
	void aWorkerThatReconnectsRunsNoTaskTwice() {
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.submit("a", SimulatedCell.step(12, false), SimulatedCell.step(12, false, 0));
		this.cell.time.runFor(300);
		owner.workerClient.disconnect("w1");
		this.cell.time.runFor(LEASE_EXPIRY_MILLIS);
		owner.workerClient.reconnect("w1");
		this.cell.time.runFor(3000);
		assertCompleted("a");
	}

	@Test
	void aWorkerThatIsUnreachableWithinItsLeaseKeepsItsTasks() {
		SimulatedCell cell = new SimulatedCell().withWorkers(2).withRunMillis(4000);
		SimulatedCell.Scheduler owner = cell.addScheduler();
		cell.time.runFor(600);
		cell.submit("a", SimulatedCell.step(6, false));
		cell.time.runFor(300);
		owner.workerClient.disconnect("w0");
		cell.time.runFor(2500);
		owner.workerClient.reconnect("w0");
		cell.time.runFor(4000);
		assertThat(cell.durableState("a")).isEqualTo(SubmissionState.COMPLETED);
		assertThat(cell.workers.violations()).isEmpty();
		for (int i = 0; i < 6; i++) {
			assertThat(cell.workers.startCount(new TaskKey("a", 0, 0, i))).isEqualTo(1);
		}
	}

	@Test
	void aWorkerThatFailsAllItsRunsIsAvoided() {
		this.cell.workers.add("bad", SimulatedCell.CAPACITY).setFailing(true);
		this.cell.addScheduler();
		for (int i = 0; i < 12; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(4, false));
			this.cell.time.runFor(300);
		}
		this.cell.time.runFor(3000);
		for (int i = 0; i < 12; i++) {
			assertCompleted("job" + i);
		}
	}

	@Nested
	class ThatLoseTheResponsesToStarts {

		private static final int TASKS = 6;

		private final SimulatedCell cell = new SimulatedCell().withRunMillis(1500);

		@BeforeEach
		void addWorkers() {
			for (int i = 0; i < 3; i++) {
				this.cell.workers.add("w" + i, SimulatedCell.CAPACITY).setLosesStartResponses(true);
			}
		}

		private void assertEachTaskRanOnce(String job) {
			assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
			assertThat(this.cell.workers.violations()).isEmpty();
			for (int i = 0; i < TASKS; i++) {
				assertThat(this.cell.workers.startCount(new TaskKey(job, 0, 0, i))).isEqualTo(1);
			}
		}

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void runEachTaskOnce(boolean gang) {
			this.cell.addScheduler();
			this.cell.time.runFor(500);
			this.cell.submit("a", SimulatedCell.step(TASKS, gang));
			this.cell.time.runFor(LEASE_EXPIRY_MILLIS);
			assertEachTaskRanOnce("a");
		}

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void runEachTaskOnceAfterTheOwnerCrashesBeforeAResponse(boolean gang) {
			SimulatedCell.Scheduler first = this.cell.addScheduler();
			this.cell.addScheduler();
			this.cell.time.runFor(500);
			this.cell.submit("a", SimulatedCell.step(TASKS, gang));
			this.cell.time.runFor(100);
			assertThat(this.cell.workers.runningTaskCount()).isEqualTo(TASKS);
			first.kill();
			this.cell.time.runFor(LEASE_EXPIRY_MILLIS + 3000);
			assertEachTaskRanOnce("a");
		}

	}

}
