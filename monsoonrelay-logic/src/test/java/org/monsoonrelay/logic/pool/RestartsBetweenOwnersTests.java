package org.monsoonrelay.logic.pool;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A worker that restarts under its id before an owner behind a cut reaches it for the
 * first time, and after the successor of that owner has read the ends listed there.
 */
class RestartsBetweenOwnersTests {

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private final SimulatedCell cell = new SimulatedCell();

	private SimulatedCell.Scheduler first;

	private SimulatedCell.Scheduler second;

	private SimulatedCell.Scheduler third;

	private void startOnFarWorker() {
		this.cell.workers.setRestartedId(RestartedId.SAME);
		this.cell.workers.add("near", SimulatedCell.CAPACITY, "porto");
		this.cell.workers.add("far", SimulatedCell.CAPACITY, "gaia");
		this.first = this.cell.startOwnerAndStandby();
		this.second = this.cell.schedulers.get(1);
		this.third = this.cell.addScheduler();
		this.cell.time.runFor(2500);
		this.first.workerClient.disconnect("near");
		this.cell.time.runFor(600);
		this.cell.withRunMillis(4000);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(300);
		this.first.workerClient.reconnect("near");
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.workerRunning(TASK)).isEqualTo("far");
	}

	private void runUntilOwner(SimulatedCell.Scheduler next) {
		for (int i = 0; i < 500 && next.owner().isEmpty(); i++) {
			this.cell.time.runFor(10);
		}
		assertThat(next.owner()).isPresent();
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void startNoTaskAgainWhoseEndTheSuccessorHasRead(boolean isTellingStarts) {
		this.cell.workers.setTellingStarts(isTellingStarts);
		startOnFarWorker();
		this.second.workerClient.disconnect("far");
		this.third.workerClient.disconnect("near");
		this.first.kill();
		runUntilOwner(this.second);
		this.second.muteToPeers();
		this.second.tableClient.setDisconnected(true);
		runUntilOwner(this.third);
		this.cell.time.runFor(3000);
		this.cell.workers.crashAndRestart(this.cell.workers.find("far"), 100);
		this.third.workerClient.disconnect("far");
		this.second.workerClient.reconnect("far");
		this.cell.time.runFor(20_000);
		this.cell.assertCompleted("a");
		assertThat(this.cell.workers.startCount(TASK)).isEqualTo(1);
	}

}
