package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against taking a run for lost while a number is missing in the list of ends that
 * may be that of its end, also if an end with a lower number waits for its job.
 */
class MissingEndsBehindDeferredOnesTests {

	private static final TaskKey LATE_TASK = new TaskKey("known", 0, 0, 0);

	private static final long LATE_MILLIS = 8;

	private static final long RUN_MILLIS = 9000;

	private static final long UNREAD_RUN_MILLIS = 5000;

	private final SimulatedCell cell = new SimulatedCell()
		.withRunMillis((task) -> task.job().equals("unread") ? UNREAD_RUN_MILLIS : RUN_MILLIS);

	@Test
	void keepTheirRuns() {
		this.cell.workers.add("w", new Resources(200_000, 100_000, 0));
		this.cell.workers.setLateEnds((task) -> task.equals(LATE_TASK) ? LATE_MILLIS : 0, false);
		SimulatedCell.Scheduler owner = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler standby = this.cell.schedulers.get(1);
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS + 1000);
		this.cell.submit("known", SimulatedCell.step(3, false));
		this.cell.time.runFor(1000);
		standby.tableClient.leaveFeedUnanswered(JobTables.JOBS);
		this.cell.time.runFor(1000);
		this.cell.submit("unread", SimulatedCell.step(1, false));
		this.cell.time.runFor(500);
		owner.kill();
		this.cell.time.runFor(RUN_MILLIS / 3);
		this.cell.workers.add("x", new Resources(200_000, 100_000, 0));
		this.cell.time.runFor(RUN_MILLIS);
		standby.tableClient.leaveFeedUnanswered("");
		this.cell.time.runFor(10_000);
		assertThat(this.cell.workers.startCount(LATE_TASK)).isEqualTo(1);
		this.cell.assertCompleted("known", "unread");
	}

}
