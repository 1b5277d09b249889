package org.monsoonrelay.logic.pool;

import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers that crash and restart under the id that they had, with empty lists, numbers
 * from 1 and a clock that starts anew.
 */
class RestartsUnderTheSameIdTests {

	private static final int WORKERS = 6;

	private static final int JOBS = 40;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS);

	@BeforeEach
	void keepIds() {
		this.cell.workers.setRestartedId(RestartedId.SAME);
	}

	private void restart(int worker, long millis) {
		this.cell.workers.crashAndRestart(this.cell.workers.find("w" + worker), millis);
	}

	private void assertAllCompleted() {
		assertThat(this.cell.workers.violations()).isEmpty();
		for (int i = 0; i < JOBS; i++) {
			this.cell.assertCompleted("job" + i);
		}
	}

	// Guards against acknowledging terminations by the numbers of a former incarnation.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void tasksWhoseEndsARestartedWorkerReportsAreNotStartedAgain(long seed) {
		Random random = new Random(seed);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(1 + random.nextInt(4), random.nextInt(4) == 0));
			if (i >= JOBS / 2 && i % 2 == 0) {
				restart(random.nextInt(WORKERS), 100 + random.nextInt(900));
			}
			this.cell.time.runFor(random.nextInt(400));
		}
		this.cell.time.runFor(30_000);
		assertAllCompleted();
	}

}
