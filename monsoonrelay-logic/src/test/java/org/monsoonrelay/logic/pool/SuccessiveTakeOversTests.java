package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Take-overs that follow one another while a worker of the first owner is lost. */
class SuccessiveTakeOversTests {

	/** Users allow a long-running task this time without a run beside free capacity. */
	private static final long MAX_WAIT_MILLIS = 7000;

	private static final String JOB = "a";

	private final SimulatedCell cell = new SimulatedCell().withRunMillis(Integer.MAX_VALUE).withWorkers(6);

	// Guards against a wait for the leases of lost workers that each take-over starts
	// anew.
	@Test
	void doNotProlongTheWaitOfALongRunningTask() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.addScheduler();
		this.cell.time.runFor(2000);
		this.cell.submit(JOB, new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "",
				"", 0, false, false, true, false));
		this.cell.time.runFor(1000);
		TaskKey task = new TaskKey(JOB, 0, 0, 0);
		this.cell.workers.crash(this.cell.workers.workerRunning(task));
		this.cell.time.runFor(700);
		first.kill();
		this.cell.time.runFor(6300);
		this.cell.owner().kill();
		this.cell.time.runFor(MAX_WAIT_MILLIS);
		assertThat(this.cell.workers.runningTasks()).contains(task);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

}
