package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;

import static org.assertj.core.api.Assertions.assertThat;

class PoolLoadReporterTests {

	private final SimulatedCell cell = new SimulatedCell();

	private List<PoolDecision.PoolLoad> loads() {
		return this.cell.decisions.stream()
			.filter(PoolDecision.PoolLoad.class::isInstance)
			.map(PoolDecision.PoolLoad.class::cast)
			.toList();
	}

	@Test
	void reportsRunningAndWaitingTasksOncePerSecond() {
		this.cell.withRunMillis(10_000).withWorkers(1).addScheduler();
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
		this.cell.submit("0000000000000001", SimulatedCell.step(6, false));
		this.cell.time.runFor(2000);
		assertThat(loads()).hasSizeBetween(2, 3).last().satisfies((load) -> {
			assertThat(Map.of("workers", load.workers(), "steps", load.stepsWaiting(), "tasks", load.tasksWaiting()))
				.isEqualTo(Map.of("workers", 1, "steps", 1, "tasks", 2));
			assertThat(load.committed()).isEqualTo(load.capacity()).isEqualTo(SimulatedCell.CAPACITY.processors());
			assertThat(load.held()).isZero();
			assertThat(load.turns()).isPositive();
		});
	}

	@Test
	void reportsTheWaitingJobsAndTheAgeOfTheirDurableCount() {
		this.cell.withRunMillis(10_000).withWorkers(1).addScheduler();
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
		this.cell.submit("0000000000000001", SimulatedCell.step(4, false));
		this.cell.time.runFor(500);
		this.cell.submit("0000000000000002", SimulatedCell.step(1, false));
		this.cell.time.runFor(2000);
		assertThat(loads()).last().satisfies((load) -> {
			assertThat(load.jobsWaiting()).isEqualTo(1);
			assertThat(load.countAgeMillis()).isBetween(0L, OwnerLease.RENEWAL_INTERVAL_MILLIS + 20);
		});
		this.cell.table.setDown(true);
		this.cell.time.runFor(1500);
		assertThat(loads()).last()
			.satisfies((load) -> assertThat(load.countAgeMillis()).isGreaterThan(OwnerLease.RENEWAL_INTERVAL_MILLIS));
	}

}
