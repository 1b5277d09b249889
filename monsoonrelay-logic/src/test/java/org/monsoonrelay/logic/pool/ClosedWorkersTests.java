package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.submission.JobTables;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The owner record names a draining worker with the tasks that may have run there. The
 * next owner starts none of them before it has reached that worker.
 */
class ClosedWorkersTests {

	private static final long SILENT_MILLIS = 4500;

	/** Size of a row with 30 workers, and without the tasks that run there, bytes. */
	private static final int SMALL_ROW_BYTES = 2200;

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

	// Guards against a record that the table rejects, as many workers drain at once.
	@Test
	void theRecordNamesNoTasksIfItWouldBeTooLargeWithThem() {
		SimulatedCell small = new SimulatedCell().withWorkers(30).withRunMillis(3000).withMaxRowBytes(SMALL_ROW_BYTES);
		small.addScheduler();
		small.time.runFor(1000);
		small.submit("a", SimulatedCell.step(120, false));
		small.time.runFor(1000);
		for (int worker = 0; worker < 30; worker++) {
			small.workers.drain("w" + worker);
		}
		small.time.runFor(1000);
		small.workers.add("usable", SimulatedCell.CAPACITY);
		small.submit("b", SimulatedCell.step(1, false));
		small.time.runFor(10_000);
		small.assertCompleted("a", "b");
		assertThat(small.decisions).noneMatch(PoolDecision.WriteRefused.class::isInstance);
	}

}
