package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverBesideSilentWorkersTests {

	private static final long LEASE_OVER_MILLIS = 10_000;

	private static final long STEP_MILLIS = 10;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	@Test
	void aWorkerThatLeftWithoutRunsHoldsUpNoSuccessor() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.workers.crash("w0");
		this.cell.time.runFor(1500);
		submitTwoGangs();
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertCompleted("a", "b");
	}

	@Test
	void aTaskOnAWorkerThatDoesNotAnswerHoldsUpNoOther() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		String holder = startLongTask();
		first.workerClient.cut(holder);
		this.cell.time.runFor(1500);
		submitTwoGangs();
		this.cell.schedulers.get(1).workerClient.cut(holder);
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertCompleted("a", "b");
		assertThat(this.cell.workers.startsOf(new TaskKey("long", 0, 0, 0))).isEqualTo(1);
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertCompleted("long");
	}

	@Test
	void aTaskOnAWorkerThatLeavesHoldsUpNoOther() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		String holder = startLongTask();
		this.cell.workers.drain(holder);
		this.cell.time.runFor(1000);
		submitTwoGangs();
		this.cell.workers.crash(holder);
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertCompleted("a", "b");
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertCompleted("long");
	}

	@Test
	void aJobThatTheFormerOwnerMayHaveStartedIsNotStartedBeside() {
		SimulatedCell.Scheduler first = this.cell.addScheduler();
		first.workerClient.cut("w1");
		first.workerClient.cut("w2");
		this.cell.time.runFor(500);
		this.cell.addScheduler().workerClient.cut("w0");
		this.cell.time.runFor(1000);
		first.muteToPeers();
		first.tableClient.setWriteDelay(60_000);
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		runUntilOwner(second, 1000);
		this.cell.submit("a", SimulatedCell.step(2, false));
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertCompleted("a");
	}

	@Test
	void aJobThatComesAfterATakeOverIsStartedAtOnceThoughNotAllWorkersCanBeReached() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		second.workerClient.cut("w0");
		first.muteToPeers();
		first.tableClient.setDisconnected(true);
		runUntilOwner(second, 2000);
		this.cell.submit("a", SimulatedCell.step(2, false));
		this.cell.time.runFor(1500);
		this.cell.assertCompleted("a");
	}

	@Test
	void aFormerOwnerThatOnlyReadsStartsNoJobThatCameAfterItsLastWrite() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		second.workerClient.cut("w0");
		second.workerClient.cut("w1");
		first.workerClient.cut("w2");
		first.muteToPeers();
		first.tableClient.setWriteDelay(60_000);
		this.cell.time.runFor(60);
		this.cell.submit("a", SimulatedCell.step(2, false));
		runUntilOwner(second, 2000);
		this.cell.submit("b", SimulatedCell.step(2, false));
		this.cell.time.runFor(1500);
		this.cell.assertCompleted("b");
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertCompleted("a", "b");
	}

	@Test
	void itIsAskedWhoMayRunAJobThatHasToWaitForThem() {
		this.cell.withEligibility();
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.submit("a", SimulatedCell.step(20, false));
		this.cell.time.runFor(60);
		second.workerClient.cut("w0");
		first.kill();
		this.cell.decisions.clear();
		this.cell.time.runFor(2000);
		assertThat(this.cell.decisions).hasAtLeastOneElementOfType(PoolDecision.OwnershipTaken.class)
			.hasAtLeastOneElementOfType(JobDecision.EligibilityAnswered.class)
			.doesNotHaveAnyElementsOfTypes(PoolDecision.WorkersAccounted.class);
	}

	@Test
	void tasksOnAWorkerThatTheSuccessorCannotReachWaitForItsLease() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.submit("a", SimulatedCell.step(12, false));
		this.cell.time.runFor(60);
		this.cell.schedulers.get(1).workerClient.cut("w0");
		first.tableClient.setDisconnected(true);
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertCompleted("a");
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
		return this.cell.workers.holderOf(new TaskKey("long", 0, 0, 0));
	}

	private void runUntilOwner(SimulatedCell.Scheduler next, long mostMillis) {
		for (long passed = 0; passed < mostMillis && next.owner.isEmpty(); passed += STEP_MILLIS) {
			this.cell.time.runFor(STEP_MILLIS);
		}
	}

}
