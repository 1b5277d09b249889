package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.submission.JobTables;

/**
 * Guards against acknowledging ends of jobs whose rows a new owner has not read yet.
 */
class UnreadJobsAfterTakeOverTests {

	private static final long RUN_MILLIS = 2000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(4).withRunMillis(RUN_MILLIS);

	@Test
	void endsAreKeptWhileTheFeedOfJobsGivesNoAnswer() {
		SimulatedCell.Scheduler owner = this.cell.startOwnerAndStandby();
		SimulatedCell.Scheduler standby = this.cell.schedulers.get(1);
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS + 1000);
		standby.tableClient.leaveFeedUnanswered(JobTables.JOBS);
		this.cell.time.runFor(1000);
		this.cell.submit("job", SimulatedCell.step(4, false));
		this.cell.time.runFor(500);
		owner.kill();
		this.cell.time.runFor(UnknownJobs.ROW_WAIT_MILLIS + 8000);
		standby.tableClient.leaveFeedUnanswered("");
		this.cell.time.runFor(10_000);
		this.cell.assertCompleted("job");
	}

}
