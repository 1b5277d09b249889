package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A task that crashes the workers that start it is given up, and its job has failed.
 */
class CrashingTasksTests {

	private static final TaskKey TASK = new TaskKey("bad", 0, 0, 0);

	private final SimulatedCell cell = new SimulatedCell().withWorkers(6);

	@Test
	void aTaskThatCrashesEachWorkerIsNotStartedWithoutLimit() {
		CrashingTasks crashing = new CrashingTasks(this.cell, TASK::equals);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("bad", SimulatedCell.step(1, false));
		this.cell.time.runFor(60_000);
		assertThat(crashing.violations()).isEmpty();
		assertThat(this.cell.durableState("bad")).isEqualTo(SubmissionState.FAILED);
	}

}
