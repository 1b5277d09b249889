package org.monsoonrelay.logic.pool;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * No start exceeds the capacity of a worker that has shrunk, also while starts are
 * unanswered and owners change. All jobs complete.
 */
class ResizedWorkersTests {

	private static final int WORKERS = 5;

	/**
	 * Jobs between two resizes, so that each worker keeps its capacity for some seconds.
	 */
	private static final int RESIZE_INTERVAL = 8;

	private static final int JOBS = 120;

	@Test
	void areNotGivenTheirFormerCapacityAfterTheyWereIdle() {
		SimulatedCell cell = new SimulatedCell().withWorkers(2).withRunMillis(4000);
		cell.addScheduler();
		cell.time.runFor(1000);
		cell.workers.resize("w0", SimulatedCell.TASK);
		cell.workers.resize("w1", SimulatedCell.TASK.times(2));
		cell.time.runFor(4000);
		cell.submit("a", SimulatedCell.step(8, false));
		cell.time.runFor(3000);
		assertThat(cell.workers.runningTaskCount()).isEqualTo(3);
		cell.workers.resize("w0", SimulatedCell.CAPACITY);
		cell.time.runFor(500);
		assertThat(cell.workers.runningTaskCount()).isEqualTo(6);
		cell.time.runFor(20_000);
		cell.assertCompleted("a");
	}

	@Test
	void areNotGivenAGangThatWasPlannedForTheirFormerCapacity() {
		SimulatedCell cell = new SimulatedCell().withWorkers(2).withRunMillis(1500).withEligibility();
		cell.addScheduler();
		cell.time.runFor(1000);
		cell.submit("a", SimulatedCell.step(4, false));
		cell.time.runFor(500);
		cell.submit("gang", SimulatedCell.step(6, true));
		cell.workers.resize("w0", SimulatedCell.TASK.times(2));
		cell.time.runFor(10_000);
		cell.assertCompleted("a", "gang");
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void areNotGivenMoreThanTheirPresentCapacity(long seed) {
		Random random = new Random(seed);
		SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS).withRunMillis(2500);
		if (seed % 2 == 0) {
			cell.withEligibility();
		}
		cell.workers.add("w9", SimulatedCell.CAPACITY).setLosesStartResponses(true);
		cell.startOwnerAndStandby();
		for (int i = 0; i < JOBS; i++) {
			cell.submit("job" + i, SimulatedCell.step(1 + random.nextInt(4), random.nextInt(3) == 0));
			cell.time.runFor(50 + random.nextInt(250));
			if (i % RESIZE_INTERVAL == 0) {
				String worker = "w" + (i / RESIZE_INTERVAL) % WORKERS;
				cell.workers.resize(worker, SimulatedCell.TASK.times(random.nextInt(5)));
			}
			if (i % 50 == 25) {
				cell.owner().kill();
				cell.addScheduler();
				cell.time.runFor(2500);
			}
		}
		for (int i = 0; i < WORKERS; i++) {
			cell.workers.resize("w" + i, SimulatedCell.CAPACITY);
		}
		cell.time.runFor(120_000);
		for (int i = 0; i < JOBS; i++) {
			cell.assertCompleted("job" + i);
		}
	}

}
