package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.SubmissionState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that fall behind: each end of a task was a row to read for every
 * host, more than a thin link carries.
 */
class JobStateRowsTests {

	private static final String JOB = "0000000000000001";

	private static final int TASKS = 20;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(1);

	private List<TableRow> rows(String key, long after) {
		CompletableFuture<TableChanges> read = this.cell.table.client().changes(JobTables.STATES, after, Duration.ZERO);
		this.cell.time.runFor(1);
		return read.join().rows().stream().filter((row) -> row.key().equals(key)).toList();
	}

	private List<SubmissionState> stateRows() {
		return stateRows(JOB);
	}

	private List<SubmissionState> stateRows(String job) {
		return rows(job, 0).stream().map((row) -> Json.read(row.value(), JobProgress.class).state()).toList();
	}

	@Test
	void areWrittenOnceForEachStateHoweverManyTasksEnd() {
		this.cell.startOwnerAndStandby();
		this.cell.submit(JOB, SimulatedCell.step(TASKS, false));
		this.cell.time.runFor(10_000);
		this.cell.assertCompleted(JOB);
		assertThat(stateRows()).containsExactly(SubmissionState.RUNNING, SubmissionState.COMPLETED);
	}

	@Test
	void areNotRepeatedByTheNextOwner() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		this.cell.submit(JOB, SimulatedCell.step(TASKS, false));
		this.cell.time.runFor(1200);
		first.kill();
		this.cell.time.runFor(20_000);
		this.cell.assertCompleted(JOB);
		assertThat(stateRows()).containsExactly(SubmissionState.RUNNING, SubmissionState.COMPLETED);
	}

	@Test
	void ofManyJobsThatEndTogetherAllBecomeDurable() {
		this.cell.withWorkers(60).startOwnerAndStandby();
		String[] jobs = new String[200];
		for (int i = 0; i < jobs.length; i++) {
			jobs[i] = String.format("%016x", i + 1);
			this.cell.submit(jobs[i], SimulatedCell.step(1, false));
		}
		this.cell.time.runFor(5000);
		this.cell.assertCompleted(jobs);
		for (String job : jobs) {
			assertThat(stateRows(job)).as(job).endsWith(SubmissionState.COMPLETED);
		}
	}

	// Guards against a count whose age the other hosts cannot tell.
	@Test
	void ofTheCountOfWaitingJobsAreWrittenWithEachRenewalAlthoughItDoesNotChange() {
		this.cell.startOwnerAndStandby();
		this.cell.time.runFor(1000);
		for (int i = 0; i < 5; i++) {
			long before = this.cell.table.version();
			this.cell.time.runFor(OwnerLease.RENEWAL_INTERVAL_MILLIS * 2);
			assertThat(rows(JobTables.SUMMARY_KEY, before)).isNotEmpty();
		}
	}

}
