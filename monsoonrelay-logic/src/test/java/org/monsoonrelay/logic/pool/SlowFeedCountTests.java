package org.monsoonrelay.logic.pool;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an owner that stops counting jobs because its table answers slowly.
 */
class SlowFeedCountTests {

	private static final int JOBS_PER_SECOND = 38;

	private static final long ANSWER_MILLIS = 200;

	private final Random random = new Random(1);

	private final SimulatedCell cell = new SimulatedCell().withWorkers(100)
		.withRunMillis((task) -> 150 + Math.floorMod(task.hashCode(), 2450));

	@Test
	void jobsAreKnownAsOfARecentTimeWhileTheyArriveAllTheTime() {
		SimulatedCell.Scheduler owner = this.cell.startOwnerAndStandby();
		this.cell.table.setReadLatency(ANSWER_MILLIS);
		owner.tableClient.setFeedDelay(ANSWER_MILLIS);
		countOutdated(owner, 4);
		assertThat(countOutdated(owner, 10)).as("outdated in 380 samples").isZero();
	}

	private int countOutdated(SimulatedCell.Scheduler owner, int seconds) {
		int outdated = 0;
		for (int i = 0; i < seconds * JOBS_PER_SECOND; i++) {
			this.cell.submit("job" + this.random.nextLong(), SimulatedCell.step(1 + this.random.nextInt(8), false));
			this.cell.time.runFor(1000 / JOBS_PER_SECOND);
			outdated += owner.jobs.isRecent() ? 0 : 1;
		}
		return outdated;
	}

}
