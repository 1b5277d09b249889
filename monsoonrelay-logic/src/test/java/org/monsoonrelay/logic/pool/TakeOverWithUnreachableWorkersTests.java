package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Take-overs while the next owner cannot reach all workers of the former owner. Tasks
 * that may still run there are not started again before the leases expire, and all other
 * tasks start without delay.
 */
class TakeOverWithUnreachableWorkersTests {

	private static final long LEASE_EXPIRY_MILLIS = 10_000;

	/** Time in which a task runs again that has ceased to wait, milliseconds. */
	private static final long MAX_RESTART_MILLIS = 1000;

	private static final long TIME_STEP_MILLIS = 10;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	@Test
	void aWorkerThatLeftWithoutRunsDoesNotDelayTheNextOwner() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.workers.crash("w0");
		this.cell.time.runFor(1500);
		submitTwoGangs();
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertCompleted("a", "b");
	}

	@Test
	void aTaskOnAnUnreachableWorkerDelaysNoOtherTask() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		String workerId = startLongTask();
		first.workerClient.disconnect(workerId);
		this.cell.time.runFor(1500);
		submitTwoGangs();
		this.cell.schedulers.get(1).workerClient.disconnect(workerId);
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertCompleted("a", "b");
		assertThat(this.cell.workers.startCount(new TaskKey("long", 0, 0, 0))).isEqualTo(1);
		this.cell.time.runFor(2 * LEASE_EXPIRY_MILLIS);
		this.cell.assertCompleted("long");
	}

	@Test
	void aTaskOnADrainingWorkerDelaysNoOtherTask() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		String workerId = startLongTask();
		this.cell.workers.drain(workerId);
		this.cell.time.runFor(1000);
		submitTwoGangs();
		this.cell.workers.crash(workerId);
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertCompleted("a", "b");
		this.cell.time.runFor(2 * LEASE_EXPIRY_MILLIS);
		this.cell.assertCompleted("long");
	}

	@Test
	void aJobThatTheFormerOwnerMayHaveStartedIsNotStartedTwice() {
		SimulatedCell.Scheduler first = this.cell.addScheduler();
		first.workerClient.disconnect("w1");
		first.workerClient.disconnect("w2");
		this.cell.time.runFor(500);
		this.cell.addScheduler().workerClient.disconnect("w0");
		this.cell.time.runFor(1000);
		first.muteToPeers();
		first.tableClient.setWriteDelay(60_000);
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		runUntilOwnershipIsTaken(second, 1000);
		this.cell.submit("a", SimulatedCell.step(2, false));
		this.cell.time.runFor(2 * LEASE_EXPIRY_MILLIS);
		this.cell.assertCompleted("a");
	}

	@Test
	void aJobThatTheFormerOwnerMayHaveStartedIsNotStartedTwiceIfItIsLearntLate() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		first.tableClient.setAnswerDelay(100);
		this.cell.time.runFor(3000);
		first.muteToPeers();
		first.tableClient.setWriteDelay(60_000);
		first.workerClient.disconnect("w1");
		first.workerClient.disconnect("w2");
		second.workerClient.disconnect("w0");
		second.tableClient.setFeedDelay(2000);
		runUntilOwnershipIsTaken(second, 5000);
		this.cell.time.runFor(50);
		this.cell.withRunMillis(30_000);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(40_000);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	@Test
	void aJobSubmittedAfterATakeOverIsStartedAtOnceDespiteUnreachableWorkers() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		second.workerClient.disconnect("w0");
		first.muteToPeers();
		first.tableClient.setDisconnected(true);
		runUntilOwnershipIsTaken(second, 2000);
		this.cell.submit("a", SimulatedCell.step(2, false));
		this.cell.time.runFor(1500);
		this.cell.assertCompleted("a");
	}

	@Test
	void aFormerOwnerThatCannotWriteStartsNoJobSubmittedAfterItsLastWrite() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		second.workerClient.disconnect("w0");
		second.workerClient.disconnect("w1");
		first.workerClient.disconnect("w2");
		first.muteToPeers();
		first.tableClient.setWriteDelay(60_000);
		this.cell.time.runFor(60);
		this.cell.submit("a", SimulatedCell.step(2, false));
		runUntilOwnershipIsTaken(second, 2000);
		this.cell.submit("b", SimulatedCell.step(2, false));
		this.cell.time.runFor(1500);
		this.cell.assertCompleted("b");
		this.cell.time.runFor(2 * LEASE_EXPIRY_MILLIS);
		this.cell.assertCompleted("a", "b");
	}

	@Test
	void eligibilityIsRequestedForAJobThatWaitsForUnreconciledWorkers() {
		this.cell.withEligibility();
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.submit("a", SimulatedCell.step(20, false));
		this.cell.time.runFor(60);
		second.workerClient.disconnect("w0");
		first.kill();
		this.cell.decisions.clear();
		this.cell.time.runFor(2000);
		assertThat(this.cell.decisions).hasAtLeastOneElementOfType(PoolDecision.OwnershipTaken.class)
			.hasAtLeastOneElementOfType(JobDecision.EligibilityAnswered.class)
			.doesNotHaveAnyElementsOfTypes(PoolDecision.WorkersAccounted.class);
	}

	@Test
	void tasksOnAWorkerUnreachableForTheNextOwnerWaitForItsLeaseToExpire() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.submit("a", SimulatedCell.step(12, false));
		this.cell.time.runFor(60);
		this.cell.schedulers.get(1).workerClient.disconnect("w0");
		first.tableClient.setDisconnected(true);
		this.cell.time.runFor(2 * LEASE_EXPIRY_MILLIS);
		this.cell.assertCompleted("a");
	}

	// Guards against a wait that is counted from a take-over which came late.
	@Test
	void anOwnerThatTakesOverAnExpiredRecordWaitsFromItsLastRenewal() {
		SimulatedCell.Scheduler first = this.cell.addScheduler();
		this.cell.time.runFor(500);
		first.muteToPeers();
		SimulatedCell.Scheduler second = this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.withRunMillis(Integer.MAX_VALUE).submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(1000);
		TaskKey task = new TaskKey("a", 0, 0, 0);
		this.cell.workers.crash(this.cell.workers.workerRunning(task));
		first.kill();
		runUntilOwnershipIsTaken(second, OwnerLease.EXPIRY_MILLIS - OwnerLease.RENEWAL_INTERVAL_MILLIS);
		assertThat(second.owner()).isEmpty();
		this.cell.time.runFor(OwnerLease.MAX_FORMER_LEASE_MILLIS - OwnerLease.EXPIRY_MILLIS + MAX_RESTART_MILLIS);
		assertThat(this.cell.workers.runningTasks()).contains(task);
	}

	private void submitTwoGangs() {
		this.cell.submit("a", SimulatedCell.step(8, true));
		this.cell.submit("b", SimulatedCell.step(8, true));
		this.cell.time.runFor(100);
	}

	private String startLongTask() {
		this.cell.withRunMillis(60_000);
		this.cell.submit("long", SimulatedCell.step(1, false));
		this.cell.time.runFor(200);
		this.cell.withRunMillis(SimulatedCell.RUN_MILLIS);
		return this.cell.workers.workerRunning(new TaskKey("long", 0, 0, 0));
	}

	private void runUntilOwnershipIsTaken(SimulatedCell.Scheduler next, long maxMillis) {
		for (long elapsedMillis = 0; elapsedMillis < maxMillis
				&& next.owner().isEmpty(); elapsedMillis += TIME_STEP_MILLIS) {
			this.cell.time.runFor(TIME_STEP_MILLIS);
		}
	}

}
