package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/** A worker that is lost just after a new owner has reached it. */
class WorkersLostAfterATakeOverTests {

	/** Less than users allow for a long-running task, milliseconds. */
	private static final long MAX_WAIT_MILLIS = 9000;

	private static final String JOB = "a";

	private final SimulatedCell cell = new SimulatedCell().withRunMillis(Integer.MAX_VALUE).withWorkers(6);

	// Guards against a wait for longer leases than the former owner can have granted.
	@ParameterizedTest
	@ValueSource(longs = { 100, 400, 700, 1000 })
	void delayTheirLongRunningTaskOnlyWhileALeaseMayBeInForce(long reachedMillis) {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.time.runFor(1000);
		this.cell.submit(JOB, new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "",
				"", 0, false, false, true, false));
		this.cell.time.runFor(1000);
		TaskKey task = new TaskKey(JOB, 0, 0, 0);
		first.kill();
		while (!this.cell.hasOwner()) {
			this.cell.time.runFor(10);
		}
		this.cell.time.runFor(reachedMillis);
		this.cell.workers.crash(this.cell.workers.workerRunning(task));
		this.cell.time.runFor(MAX_WAIT_MILLIS);
		assertThat(this.cell.workers.runningTasks()).contains(task);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

}
