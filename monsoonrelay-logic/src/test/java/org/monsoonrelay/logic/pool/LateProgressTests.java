package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an owner that learns of ends of a former owner after it has replayed the
 * jobs, and goes on without them.
 */
class LateProgressTests {

	/** Reads of the partition would show the progress that the feed withholds. */
	private static final long UNANSWERED_MILLIS = 60_000;

	private static final String JOB = "job";

	private final SimulatedCell cell = new SimulatedCell();

	private final List<SimulatedWorkers.SimulatedWorker> workers = Stream.of("w0", "w1")
		.map((id) -> this.cell.workers.add(id, SimulatedCell.CAPACITY))
		.toList();

	private SimulatedCell.Scheduler owner;

	private SimulatedCell.Scheduler standby;

	@BeforeEach
	void startOwnerAndStandby() {
		this.owner = this.cell.startOwnerAndStandby();
		this.standby = this.cell.schedulers.get(1);
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS + 500);
	}

	private void withholdProgress() {
		this.cell.table.setReadLatency(UNANSWERED_MILLIS);
		this.standby.tableClient.withholdRows(JobTables.PROGRESS);
	}

	private void takeOverAndStartAgain() {
		long placed = placements();
		this.owner.kill();
		for (int i = 0; i < 1000 && placements() == placed; i++) {
			this.cell.time.runFor(10);
		}
		assertThat(placements()).isGreaterThan(placed);
	}

	private void deliverProgress() {
		this.standby.tableClient.withholdRows("");
		this.cell.time.runFor(1000);
		assertThat(this.cell.decisions).hasAtLeastOneElementOfType(JobDecision.ProgressDeliveredLate.class);
	}

	private long placements() {
		return this.cell.decisions.stream().filter(JobDecision.TaskPlaced.class::isInstance).count();
	}

	private long stopped() {
		return this.cell.decisions.stream().filter(JobDecision.TaskStopped.class::isInstance).count();
	}

	private int starts(int index) {
		return this.cell.workers.startCount(new TaskKey(JOB, 0, 0, index));
	}

	@Nested
	class Ends {

		@Test
		void asDoneStopTheRunsThatWereStartedAgainAndPreventOthers() {
			LateProgressTests.this.cell.submit(JOB, SimulatedCell.step(24, false));
			LateProgressTests.this.cell.time.runFor(100);
			withholdProgress();
			LateProgressTests.this.cell.time.runFor(1100);
			LateProgressTests.this.cell.withRunMillis(5000);
			takeOverAndStartAgain();
			assertThat(IntStream.range(0, 16).map(LateProgressTests.this::starts).sum()).isEqualTo(24);
			deliverProgress();
			LateProgressTests.this.cell.time.runFor(9000);
			assertThat(stopped()).isEqualTo(8);
			assertThat(IntStream.range(0, 16).map(LateProgressTests.this::starts).sum()).isEqualTo(24);
			assertThat(LateProgressTests.this.cell.durableState(JOB)).isEqualTo(SubmissionState.COMPLETED);
		}

		@Test
		void asFailedCountForTheAttemptsOfATask() {
			LateProgressTests.this.workers.forEach((worker) -> worker.setFailing(true));
			withholdProgress();
			LateProgressTests.this.cell.submit(JOB, 3, SimulatedCell.step(1, false));
			LateProgressTests.this.cell.time.runFor(1300);
			assertThat(starts(0)).isGreaterThanOrEqualTo(2);
			takeOverAndStartAgain();
			int known = starts(0);
			deliverProgress();
			LateProgressTests.this.cell.time.runFor(5000);
			assertThat(starts(0)).isEqualTo(Math.max(3, known));
			assertThat(LateProgressTests.this.cell.durableState(JOB)).isEqualTo(SubmissionState.FAILED);
		}

		@Test
		void ofTheJobEndItAndStopItsRuns() {
			withholdProgress();
			LateProgressTests.this.cell.submit(JOB, SimulatedCell.step(4, false));
			LateProgressTests.this.cell.time.runFor(1200);
			LateProgressTests.this.cell.assertCompleted(JOB);
			LateProgressTests.this.cell.withRunMillis(5000);
			takeOverAndStartAgain();
			deliverProgress();
			assertThat(stopped()).isEqualTo(4);
			LateProgressTests.this.cell.time.runFor(2000);
			assertThat(LateProgressTests.this.cell.durableState(JOB)).isEqualTo(SubmissionState.COMPLETED);
		}

	}

}
