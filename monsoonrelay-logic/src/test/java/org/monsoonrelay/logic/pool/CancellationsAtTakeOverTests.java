package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a new owner that starts tasks of a job whose cancellation was stored
 * before the take-over, and against waiting for partitions that do not answer.
 */
class CancellationsAtTakeOverTests {

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	private SimulatedCell.Scheduler owner;

	private SimulatedCell.Scheduler standby;

	@BeforeEach
	void startOwnerAndStandby() {
		this.owner = this.cell.startOwnerAndStandby();
		this.standby = this.cell.schedulers.get(1);
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS + 500);
	}

	private void submit(String job) {
		this.cell.submit(job, SimulatedCell.step(1, false), SimulatedCell.step(1, false, 0));
	}

	private int starts(String job) {
		return this.cell.workers.startCount(new TaskKey(job, 0, 1, 0));
	}

	private void takeOver() {
		for (int i = 0; i < 500 && this.standby.owner().isEmpty(); i++) {
			this.cell.time.runFor(10);
		}
		assertThat(this.standby.owner()).isPresent();
	}

	private void loseChangesOf(Runnable change) {
		this.standby.tableClient.leaveFeedUnanswered(JobTables.JOBS);
		this.cell.time.runFor(1000);
		change.run();
		this.cell.time.runFor(50);
		this.standby.tableClient.loseChangeHistory();
		this.standby.tableClient.leaveFeedUnanswered("");
	}

	@Test
	void noTaskStartsBeforeTheCancellationIsRead() {
		submit("job");
		this.cell.time.runFor(300);
		this.standby.tableClient.leaveFeedUnanswered(JobTables.JOBS);
		this.owner.kill();
		this.cell.cancel("job");
		takeOver();
		this.cell.time.runFor(1500);
		this.standby.tableClient.leaveFeedUnanswered("");
		this.cell.time.runFor(3000);
		assertThat(starts("job")).isZero();
		assertThat(this.cell.durableState("job")).isEqualTo(SubmissionState.CANCELLED);
	}

	@Test
	void aPartitionThatDoesNotAnswerHoldsItsOwnJobsOnlyAndNotForGood() {
		this.cell.withRunMillis(2000);
		submit("silent");
		this.cell.time.runFor(700);
		loseChangesOf(() -> submit("other"));
		assertThat(JobTables.partition("silent")).isNotEqualTo(JobTables.partition("other"));
		this.cell.table.blockReads(JobTables.partition("silent"));
		this.owner.kill();
		takeOver();
		this.cell.time.runFor(InheritedCancellations.MAX_WAIT_MILLIS - 500);
		assertThat(starts("other")).isEqualTo(1);
		assertThat(starts("silent")).isZero();
		this.cell.time.runFor(5000);
		this.cell.assertCompleted("silent", "other");
	}

}
