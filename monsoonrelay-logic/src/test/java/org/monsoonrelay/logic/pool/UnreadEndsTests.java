package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Ends that an owner has read and neither acknowledged nor made durable before it is
 * lost. Their worker is reached by the next owner later than others.
 */
class UnreadEndsTests {

	/** More jobs than one write of their progress takes. */
	private static final int JOBS = 100;

	private static final long RUN_MILLIS = 4000;

	private static final Resources CAPACITY = new Resources(200_000, 100_000, 0);

	private final SimulatedCell cell = new SimulatedCell();

	private SimulatedCell.Scheduler former;

	private SimulatedCell.Scheduler next;

	@BeforeEach
	void startJobsOnOneWorker() {
		this.cell.workers.add("near", CAPACITY, "porto");
		this.cell.workers.add("far", CAPACITY, "gaia");
		this.former = this.cell.startOwnerAndStandby();
		this.next = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
		this.former.workerClient.disconnect("far");
		this.cell.time.runFor(600);
		this.cell.withRunMillis(RUN_MILLIS);
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(1, false));
		}
		this.cell.time.runFor(300);
		this.former.workerClient.reconnect("far");
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.find("near").runningCount()).isEqualTo(JOBS);
	}

	private int durablyEndedCount() {
		int count = 0;
		for (int i = 0; i < JOBS; i++) {
			count += this.cell.durableState("job" + i).isFinal() ? 1 : 0;
		}
		return count;
	}

	private void loseTheOwnerAfterItsFirstWriteOfEnds() {
		while (durablyEndedCount() == 0) {
			this.cell.time.runFor(1);
		}
		this.former.kill();
		assertThat(durablyEndedCount()).isLessThan(JOBS);
	}

	private void reachTheWorkerLate() {
		this.cell.time.runFor(2500);
		this.next.workerClient.reconnect("near");
		this.cell.time.runFor(5000);
	}

	private void assertNoTaskWasStartedTwice() {
		assertThat(this.cell.workers.violations()).isEmpty();
		for (int i = 0; i < JOBS; i++) {
			assertThat(this.cell.workers.startCount(new TaskKey("job" + i, 0, 0, 0))).isEqualTo(1);
		}
	}

	@Test
	void onADrainingWorkerStartNoTaskAgainIfTheyDoNotFitIntoOneWrite() {
		this.cell.workers.drain("near");
		this.cell.time.runFor(500);
		this.next.workerClient.disconnect("near");
		loseTheOwnerAfterItsFirstWriteOfEnds();
		reachTheWorkerLate();
		assertNoTaskWasStartedTwice();
	}

	@Test
	void onAUsableWorkerStartNoTaskAgainIfTheyDoNotFitIntoOneWrite() {
		this.next.workerClient.disconnect("near");
		loseTheOwnerAfterItsFirstWriteOfEnds();
		reachTheWorkerLate();
		assertNoTaskWasStartedTwice();
	}

}
