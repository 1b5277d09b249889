package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.submission.JobTables;

/**
 * The owner record names a draining worker with the tasks that may have run there. The
 * next owner starts none of them before it has reached that worker.
 */
class ClosedWorkersTests {

	private static final long SILENT_MILLIS = 4500;

	private final SimulatedCell cell = new SimulatedCell();

	// Guards against a record that omits ends whose jobs are not loaded.
	@Test
	void noTaskIsStartedAgainIfTheFormerOwnerReadItsEndAndDidNotKnowItsJob() {
		this.cell.workers.add("draining", SimulatedCell.CAPACITY);
		this.cell.addScheduler();
		this.cell.time.runFor(2000);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(200);
		this.cell.workers.drain("draining");
		this.cell.workers.add("usable", SimulatedCell.CAPACITY);
		this.cell.time.runFor(260);
		this.cell.owner().kill();
		this.cell.table.blockReads(JobTables.partition("a"));
		this.cell.addScheduler();
		this.cell.time.runFor(8000);
		SimulatedCell.Scheduler next = this.cell.addScheduler();
		this.cell.table.blockReads("");
		next.workerClient.disconnect("draining");
		this.cell.owner().kill();
		this.cell.time.runFor(SILENT_MILLIS);
		next.workerClient.reconnect("draining");
		this.cell.time.runFor(30_000);
		this.cell.assertCompleted("a");
	}

}
