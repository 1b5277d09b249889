package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Take-overs that follow one another while a worker of the first owner is lost. */
class SuccessiveTakeOversTests {

	/** Users allow a long-running task this time without a run beside free capacity. */
	private static final long MAX_WAIT_MILLIS = 7000;

	/** A long-running task that ran for longer is not suspected to crash its worker. */
	private static final long STABLE_MILLIS = 15_000;

	/** Users allow this time after the last disturbance, for contact and for calm. */
	private static final long MAX_WAIT_AFTER_LOSS_MILLIS = 10_000;

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

	// Guards against runs of which the age is counted from a take-over.
	@Test
	void doNotMakeAStableLongRunningTaskSuspected() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.submit(JOB, new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "",
				"", 0, false, false, true, false));
		this.cell.time.runFor(STABLE_MILLIS);
		first.kill();
		this.cell.time.runFor(1500);
		TaskKey task = new TaskKey(JOB, 0, 0, 0);
		this.cell.workers.crash(this.cell.workers.workerRunning(task));
		this.cell.time.runFor(STABLE_MILLIS);
		assertThat(this.cell.workers.startCount(task)).isEqualTo(2);
		String progress = this.cell.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, JOB);
		assertThat(Json.read(progress, JobProgress.class).steps().values())
			.allSatisfy((step) -> assertThat(step.crashes()).isEmpty());
	}

	// Guards against a worker that counts as holding the longest lease that workers grant
	// although all owners granted shorter ones.
	@Test
	void doNotProlongTheLeaseOfAWorkerThatIsLostAfterThem() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.submit(JOB, new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "",
				"", 0, false, false, true, false));
		this.cell.time.runFor(STABLE_MILLIS);
		first.kill();
		while (!this.cell.hasOwner()) {
			this.cell.time.runFor(10);
		}
		this.cell.time.runFor(100);
		TaskKey task = new TaskKey(JOB, 0, 0, 0);
		this.cell.workers.crash(this.cell.workers.workerRunning(task));
		this.cell.time.runFor(MAX_WAIT_AFTER_LOSS_MILLIS);
		assertThat(this.cell.workers.runningTasks()).contains(task);
	}

}
