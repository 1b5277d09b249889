package org.monsoonrelay.logic.pool;

import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against dropping an end that is listed after its number was passed, and after an
 * acknowledgement of higher numbers that did not arrive.
 */
class EndsAfterLostAcknowledgementsTests {

	private static final int TASKS = 10;

	private static final TaskKey LATE_TASK = new TaskKey("job", 0, 0, 3);

	private static final long LATE_MILLIS = 1500;

	private static final long RUN_MILLIS = 1000;

	private final SimulatedCell cell = new SimulatedCell().withRunMillis(RUN_MILLIS);

	private void runUntil(Predicate<Decision> decision) {
		for (int i = 0; i < RUN_MILLIS && this.cell.decisions.stream().noneMatch(decision); i++) {
			this.cell.time.runFor(1);
		}
		assertThat(this.cell.decisions).anyMatch(decision);
	}

	@Test
	void areProcessed() {
		this.cell.workers.add("w", new Resources(200_000, 100_000, 0));
		this.cell.workers.setLateEnds((task) -> task.equals(LATE_TASK) ? LATE_MILLIS : 0, true);
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(1000);
		this.cell.submit("job", SimulatedCell.step(TASKS, false));
		this.cell.time.runFor(RUN_MILLIS);
		runUntil(PoolDecision.EndsNotListed.class::isInstance);
		runUntil((decision) -> decision instanceof PoolDecision.EndsAcknowledged ends && ends.upTo() >= TASKS);
		owner.workerClient.disconnect("w");
		assertThat(this.cell.workers.find("w").unacknowledgedCount()).isGreaterThan(1);
		this.cell.time.runFor(LATE_MILLIS);
		owner.workerClient.reconnect("w");
		this.cell.time.runFor(10_000);
		assertThat(this.cell.workers.startCount(LATE_TASK)).isEqualTo(1);
		this.cell.assertCompleted("job");
	}

}
