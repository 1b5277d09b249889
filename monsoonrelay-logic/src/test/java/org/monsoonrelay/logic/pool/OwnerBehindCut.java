package org.monsoonrelay.logic.pool;

import java.util.function.BooleanSupplier;

import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An owner that is cut off from the table, from the other hosts and from the workers of
 * another failure domain. Its successor reaches those workers and no others.
 */
final class OwnerBehindCut {

	/** Longer than all leases, milliseconds. */
	static final long CUT_MILLIS = 25_000;

	static final long RUN_MILLIS = 4000;

	static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private static final long TIME_STEP_MILLIS = 10;

	final SimulatedCell cell = new SimulatedCell();

	SimulatedCell.Scheduler former;

	SimulatedCell.Scheduler successor;

	OwnerBehindCut() {
		this.cell.workers.add("near", SimulatedCell.CAPACITY, "porto");
		this.cell.workers.add("far", SimulatedCell.CAPACITY, "gaia");
		this.former = this.cell.startOwnerAndStandby();
		this.successor = this.cell.schedulers.get(1);
		this.cell.time.runFor(1000);
	}

	/**
	 * Submits a job whose tasks are started on one worker.
	 * @param worker the worker's id
	 * @param runMillis how long the tasks run, milliseconds
	 * @param steps the steps of the job
	 */
	void startOn(String worker, long runMillis, StepSpec... steps) {
		String other = worker.equals("near") ? "far" : "near";
		this.cell.withRunMillis(runMillis);
		this.former.workerClient.disconnect(other);
		this.cell.time.runFor(600);
		this.cell.submit("a", steps);
		this.cell.time.runFor(300);
		this.former.workerClient.reconnect(other);
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.workerRunning(TASK)).isEqualTo(worker);
	}

	void drainFarWorker() {
		this.cell.workers.drain("far");
		this.cell.time.runFor(500);
	}

	void beginCut() {
		this.former.muteToPeers();
		this.former.tableClient.setDisconnected(true);
		this.former.workerClient.disconnect("far");
		this.successor.workerClient.disconnect("near");
	}

	void cutOff() {
		beginCut();
		this.cell.time.runFor(CUT_MILLIS);
	}

	void endCut() {
		this.former.tableClient.setDisconnected(false);
		this.former.workerClient.reconnect("far");
		this.successor.workerClient.reconnect("near");
		this.cell.time.runFor(CUT_MILLIS);
	}

	/**
	 * Lets time pass until something is the case.
	 * @param condition what to wait for
	 * @param maxMillis after which time to give up, milliseconds
	 * @return the time that has passed, milliseconds
	 */
	long runUntil(BooleanSupplier condition, long maxMillis) {
		long elapsedMillis = 0;
		while (!condition.getAsBoolean() && elapsedMillis < maxMillis) {
			this.cell.time.runFor(TIME_STEP_MILLIS);
			elapsedMillis += TIME_STEP_MILLIS;
		}
		assertThat(condition.getAsBoolean()).as("within " + maxMillis + " ms").isTrue();
		return elapsedMillis;
	}

	int startCount(TaskKey task) {
		return this.cell.workers.startCount(task);
	}

}
