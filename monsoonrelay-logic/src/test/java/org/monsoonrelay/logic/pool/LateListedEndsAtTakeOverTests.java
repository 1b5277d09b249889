package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a new owner that starts a task again whose end is listed shortly after
 * its run has ceased to be listed, and against one that waits longer for such ends than
 * it has to.
 */
class LateListedEndsAtTakeOverTests {

	private static final int TAKE_OVERS = 30;

	@ParameterizedTest
	@ValueSource(ints = { 3, 9 })
	void startNoTaskAgainWhoseEndIsListedEightMillisecondsLate(int late) {
		replaceOwnersWhileAnEndIsListedLate(late, 8);
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 9 })
	void startNoTaskAgainWhoseEndIsListedNinetyMillisecondsLate(int late) {
		replaceOwnersWhileAnEndIsListedLate(late, 90);
	}

	@Test
	void waitForTheEndsOfAllWorkersAtOnce() {
		SimulatedCell cell = new SimulatedCell();
		for (int i = 0; i < 20; i++) {
			cell.workers.add("w" + i, new Resources(10_000, 10_000, 0));
		}
		cell.withRunMillis(1000);
		SimulatedCell.Scheduler owner = cell.addScheduler();
		cell.time.runFor(1000);
		cell.submit("job", SimulatedCell.step(100, false));
		cell.time.runFor(300);
		owner.kill();
		cell.time.runFor(700);
		cell.restart(owner);
		cell.time.runFor(4000);
		PoolDecision.WorkersAccounted accounted = (PoolDecision.WorkersAccounted) cell.decisions.stream()
			.filter(PoolDecision.WorkersAccounted.class::isInstance)
			.reduce((first, last) -> last)
			.orElseThrow();
		assertThat(accounted.tookMillis()).isBetween(100L, 140L);
	}

	private static void replaceOwnersWhileAnEndIsListedLate(int late, long lateMillis) {
		for (int i = 0; i < TAKE_OVERS; i++) {
			SimulatedCell cell = new SimulatedCell();
			cell.workers.add("w", new Resources(200_000, 100_000, 0));
			cell.withRunMillis(1000);
			SimulatedCell.Scheduler owner = cell.addScheduler();
			cell.time.runFor(1000);
			cell.workers.setLateEnds((task) -> (task.index() == late) ? lateMillis : 0, false);
			cell.submit("job", SimulatedCell.step(10, false));
			cell.time.runFor(300);
			owner.kill();
			cell.time.runFor(600 + i * 4);
			cell.restart(owner);
			cell.time.runFor(4000);
			assertThat(cell.workers.violations()).as("take-over " + (600 + i * 4) + " ms after the loss").isEmpty();
		}
	}

}
