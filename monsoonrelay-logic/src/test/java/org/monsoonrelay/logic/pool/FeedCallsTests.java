package org.monsoonrelay.logic.pool;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what following the tables costs in calls.
 */
class FeedCallsTests {

	private static final int SECONDS = 20;

	private static final int JOBS_PER_SECOND = 38;

	private final Random random = new Random(1);

	private final SimulatedCell cell = new SimulatedCell().withWorkers(100)
		.withRunMillis((task) -> 150 + Math.floorMod(task.hashCode(), 2450));

	@Test
	void ofAnOwnerAndAStandbyStayFewAtThirtyEightJobsASecond() {
		SimulatedCell.Scheduler owner = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler standby = this.cell.schedulers.get(1);
		submitForSeconds(4);
		int ownerBefore = owner.tableClient.readCalls();
		int standbyBefore = standby.tableClient.readCalls();
		submitForSeconds(SECONDS);
		double ofOwner = (owner.tableClient.readCalls() - ownerBefore) / (double) SECONDS;
		double ofStandby = (standby.tableClient.readCalls() - standbyBefore) / (double) SECONDS;
		assertThat(ofOwner).as("calls of the owner in a second").isLessThan(20);
		assertThat(ofStandby).as("calls of the standby in a second").isLessThan(8);
	}

	private void submitForSeconds(int seconds) {
		for (int i = 0; i < seconds * JOBS_PER_SECOND; i++) {
			this.cell.submit("job" + this.random.nextLong(), SimulatedCell.step(1 + this.random.nextInt(8), false));
			this.cell.time.runFor(1000 / JOBS_PER_SECOND);
		}
	}

}
