package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers that the owner record names as silent and that the owner reaches again, while
 * the next owner does not reach them.
 */
class ReturningWorkersTests {

	private static final Resources TOO_SMALL = new Resources(500, 100, 0);

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private final SimulatedCell cell = new SimulatedCell().withRunMillis(30_000);

	// Guards against a start on a worker of which the next owner counts on the end of the
	// former leases.
	@Test
	void acceptNoWorkWhileARecordNamesThemAsSilent() {
		this.cell.workers.setTellingStarts(false);
		this.cell.workers.add("small", TOO_SMALL);
		this.cell.workers.add("w", SimulatedCell.CAPACITY);
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler second = this.cell.schedulers.get(1);
		second.workerClient.disconnect("w");
		this.cell.time.runFor(3000);
		first.kill();
		this.cell.time.runFor(1000);
		this.cell.submit(TASK.job(), SimulatedCell.step(1, false));
		this.cell.addScheduler().workerClient.disconnect("w");
		this.cell.time.runFor(7000);
		second.workerClient.reconnect("w");
		this.cell.time.runFor(300);
		second.muteToPeers();
		second.tableClient.setWriteDelay(60_000);
		this.cell.time.runFor(100);
		this.cell.workers.add("spare", SimulatedCell.CAPACITY);
		this.cell.time.runFor(20_000);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	// Guards against runs that lapse as a lease waits for the end of a long poll.
	@ParameterizedTest
	@ValueSource(longs = { 4300, 4500, 4700, 4900, 5100, 5300 })
	void keepTheirRunsAfterACutThatEndsBeforeTheirLeases(long cutMillis) {
		this.cell.workers.setLongPollMillis(1000);
		this.cell.workers.add("w", SimulatedCell.CAPACITY);
		SimulatedCell.Scheduler scheduler = this.cell.startOwnerAndStandby();
		this.cell.submit(TASK.job(), SimulatedCell.step(1, false));
		this.cell.time.runFor(3000);
		scheduler.workerClient.disconnect("w");
		this.cell.time.runFor(cutMillis);
		scheduler.workerClient.reconnect("w");
		this.cell.time.runFor(10_000);
		assertThat(this.cell.workers.startCount(TASK)).isEqualTo(1);
		assertThat(this.cell.workers.runningTasks()).contains(TASK);
	}

}
