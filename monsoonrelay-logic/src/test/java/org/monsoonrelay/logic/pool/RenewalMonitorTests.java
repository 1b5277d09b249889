package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class RenewalMonitorTests {

	private final SimulatedCell cell = new SimulatedCell().withWorkers(2);

	private <T> List<T> decisions(Class<T> kind) {
		return this.cell.decisions.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

	@Test
	void logsAnOutageOfTheTableOnceHoweverLongItLasts() {
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
		owner.workerClient.disconnect("w1");
		this.cell.time.runFor(1000);
		owner.tableClient.setRejectsRequests(true);
		this.cell.time.runFor(5000);
		assertThat(decisions(PoolDecision.OwnershipUnconfirmed.class)).singleElement().satisfies((unconfirmed) -> {
			assertThat(unconfirmed.epoch()).isEqualTo(OwnerLease.TOKENS_PER_EPOCH);
			assertThat(unconfirmed.renewalAgeMillis()).isGreaterThanOrEqualTo(OwnerLease.EXPIRY_MILLIS);
			assertThat(List.of(unconfirmed.reachableWorkers(), unconfirmed.unreachableWorkers(), unconfirmed.running()))
				.containsExactly(1, 1, 0);
		});
		assertThat(decisions(PoolDecision.OwnershipConfirmed.class)).isEmpty();
		owner.tableClient.setRejectsRequests(false);
		this.cell.time.runFor(1000);
		assertThat(decisions(PoolDecision.OwnershipUnconfirmed.class)).hasSize(1);
		assertThat(decisions(PoolDecision.OwnershipConfirmed.class)).singleElement()
			.satisfies((confirmed) -> assertThat(confirmed.unconfirmedMillis())
				.isGreaterThanOrEqualTo(OwnerLease.EXPIRY_MILLIS));
	}

	@Test
	void logsNothingWhileRenewalsAreConfirmed() {
		this.cell.addScheduler();
		this.cell.time.runFor(10_000);
		assertThat(decisions(PoolDecision.OwnershipUnconfirmed.class)).isEmpty();
		assertThat(decisions(PoolDecision.OwnershipConfirmed.class)).isEmpty();
	}

	@Test
	void logsTasksThatWereLostBeforeTheLeaseExpired() {
		this.cell.workers.setRestartedId(SimulatedWorkers.RestartedId.SAME);
		this.cell.withRunMillis(60_000);
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(500);
		owner.tableClient.setRejectsRequests(true);
		SimulatedWorkers.SimulatedWorker worker = this.cell.workers
			.find(this.cell.workers.workerRunning(new TaskKey("a", 0, 0, 0)));
		this.cell.workers.crashAndRestart(worker, 100);
		this.cell.time.runFor(1500);
		assertThat(decisions(JobDecision.TaskLost.class)).hasSize(1);
		assertThat(decisions(JobDecision.TaskHeldBack.class)).isEmpty();
		this.cell.time.runFor(2500);
		assertThat(decisions(JobDecision.TaskHeldBack.class)).singleElement()
			.satisfies((heldBack) -> assertThat(heldBack.task()).isEqualTo("a.0.0.0"));
	}

}
