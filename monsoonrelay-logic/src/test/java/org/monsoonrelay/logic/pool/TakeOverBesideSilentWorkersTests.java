package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverBesideSilentWorkersTests {

	private static final long LEASE_OVER_MILLIS = 10_000;

	private static final long STEP_MILLIS = 10;

	private final PoolCell cell = new PoolCell().withWorkers(3);

	@Test
	void aWorkerThatLeftWithoutRunsHoldsUpNoSuccessor() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		this.cell.workers.crash("w0");
		this.cell.time.runFor(1500);
		submitTwoGangs();
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertServed("a", "b");
	}

	@Test
	void aTaskOnAWorkerThatDoesNotAnswerHoldsUpNoOther() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		String holder = startLongTask();
		first.workerClient.cut(holder);
		this.cell.time.runFor(1500);
		submitTwoGangs();
		this.cell.schedulers.get(1).workerClient.cut(holder);
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertServed("a", "b");
		assertThat(this.cell.workers.startsOf(new TaskKey("long", 0, 0, 0))).isEqualTo(1);
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertServed("long");
	}

	@Test
	void aTaskOnAWorkerThatLeavesHoldsUpNoOther() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		String holder = startLongTask();
		this.cell.workers.drain(holder);
		this.cell.time.runFor(1000);
		submitTwoGangs();
		this.cell.workers.crash(holder);
		first.kill();
		this.cell.time.runFor(2500);
		this.cell.assertServed("a", "b");
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertServed("long");
	}

	@Test
	void aJobThatTheFormerOwnerMayHaveStartedIsNotStartedBeside() {
		PoolCell.Scheduler first = this.cell.addScheduler();
		first.workerClient.cut("w1");
		first.workerClient.cut("w2");
		this.cell.time.runFor(500);
		this.cell.addScheduler().workerClient.cut("w0");
		this.cell.time.runFor(1000);
		first.mute();
		first.tableClient.appliesLate(60_000);
		PoolCell.Scheduler second = this.cell.schedulers.get(1);
		runUntilOwner(second, 1000);
		this.cell.submit("a", PoolCell.step(2, false));
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertServed("a");
	}

	@Test
	void aJobThatComesAfterATakeOverIsStartedAtOnceThoughNotAllWorkersCanBeReached() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		PoolCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		second.workerClient.cut("w0");
		first.mute();
		first.tableClient.cut(true);
		runUntilOwner(second, 2000);
		this.cell.submit("a", PoolCell.step(2, false));
		this.cell.time.runFor(1500);
		this.cell.assertServed("a");
	}

	@Test
	void aFormerOwnerThatOnlyReadsStartsNoJobThatCameAfterItsLastWrite() {
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		PoolCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		second.workerClient.cut("w0");
		second.workerClient.cut("w1");
		first.workerClient.cut("w2");
		first.mute();
		first.tableClient.appliesLate(60_000);
		this.cell.time.runFor(60);
		this.cell.submit("a", PoolCell.step(2, false));
		runUntilOwner(second, 2000);
		this.cell.submit("b", PoolCell.step(2, false));
		this.cell.time.runFor(1500);
		this.cell.assertServed("b");
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertServed("a", "b");
	}

	@Test
	void itIsAskedWhoMayRunAJobThatHasToWaitForThem() {
		this.cell.withEligibility();
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		PoolCell.Scheduler second = this.cell.schedulers.get(1);
		this.cell.submit("a", PoolCell.step(20, false));
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
		PoolCell.Scheduler first = this.cell.beginWithTwo();
		this.cell.submit("a", PoolCell.step(12, false));
		this.cell.time.runFor(60);
		this.cell.schedulers.get(1).workerClient.cut("w0");
		first.tableClient.cut(true);
		this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
		this.cell.assertServed("a");
	}

	private void submitTwoGangs() {
		this.cell.submit("a", PoolCell.step(8, true));
		this.cell.submit("b", PoolCell.step(8, true));
		this.cell.time.runFor(100);
	}

	private String startLongTask() {
		this.cell.withRunsOf(60_000);
		this.cell.submit("long", PoolCell.step(1, false));
		this.cell.time.runFor(200);
		this.cell.withRunsOf(PoolCell.RUN_MILLIS);
		return this.cell.workers.holderOf(new TaskKey("long", 0, 0, 0));
	}

	private void runUntilOwner(PoolCell.Scheduler next, long mostMillis) {
		for (long passed = 0; passed < mostMillis && next.owner.isEmpty(); passed += STEP_MILLIS) {
			this.cell.time.runFor(STEP_MILLIS);
		}
	}

}
