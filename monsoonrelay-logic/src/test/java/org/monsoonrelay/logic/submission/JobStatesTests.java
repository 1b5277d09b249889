package org.monsoonrelay.logic.submission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.SubmissionState;

import static org.assertj.core.api.Assertions.assertThat;

class JobStatesTests {

	private long nowNanos = 1;

	private final JobStates states = new JobStates(new UnreadableRows(DecisionLog.NONE), () -> this.nowNanos);

	private static TableRow row(String key, Object value) {
		return new TableRow(JobTables.STATES, JobTables.POOL_PARTITION, key, Json.write(value), 1, false);
	}

	private static TableRow progressRow(SubmissionState state) {
		return progressRow(state, "a");
	}

	private static TableRow progressRow(SubmissionState state, String job) {
		return row(job, new JobProgress(state, Map.of()));
	}

	private static TableRow summaryRow(long version, int waiting) {
		return new TableRow(JobTables.STATES, JobTables.POOL_PARTITION, JobTables.SUMMARY_KEY,
				Json.write(new QueueSummary(Map.of("q", waiting))), version, false);
	}

	private static Optional<QueueCount> queueCount(long version, int waiting) {
		return Optional.of(new QueueCount(new QueueSummary(Map.of("q", waiting)), version));
	}

	@Test
	void areTheLatestDurableStatesFromTheOwner() {
		this.states.update("a", SubmissionState.QUEUED);
		this.states.changed(List.of(progressRow(SubmissionState.RUNNING), progressRow(SubmissionState.COMPLETED)));
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
	}

	@Test
	void doNotLeaveAFinalState() {
		this.states.changed(List.of(progressRow(SubmissionState.FAILED)));
		this.states.update("a", SubmissionState.QUEUED);
		this.states.update("a", SubmissionState.CANCELLED);
		assertThat(this.states.state("a")).contains(SubmissionState.FAILED);
	}

	@Test
	void countWaitingJobsByQueue() {
		this.states.changed(List.of(row(JobTables.SUMMARY_KEY, new QueueSummary(Map.of("q", 3)))));
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(3);
		assertThat(this.states.waitingJobs("other").jobs()).isZero();
	}

	@Test
	void areUpdatedByMessagesOfTheOwner() {
		this.states.applyOwnerUpdate(Map.of("a", SubmissionState.RUNNING), queueCount(4, 3));
		this.states.applyOwnerUpdate(Map.of("a", SubmissionState.COMPLETED), Optional.empty());
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(3);
	}

	/**
	 * Guards against an outdated count: a host reported 10 waiting jobs where 26 had been
	 * waiting for 5 s. Counts arrive by change feed and by the owner's messages. A feed
	 * page read before the owner's write but received after its message replaced the
	 * newer count, and the older one remained because the owner sends a count only when
	 * it changes.
	 */
	@Test
	void keepTheNewerCountWhenTheFeedDeliversAnOlderOne() {
		this.states.applyOwnerUpdate(Map.of(), queueCount(9, 26));
		this.states.changed(List.of(summaryRow(8, 10)));
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(26);
		this.states.snapshot(JobTables.POOL_PARTITION, List.of(summaryRow(10, 27)));
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(27);
	}

	@Test
	void keepTheNewerCountWhenTheOwnersMessageArrivesLate() {
		this.states.changed(List.of(summaryRow(9, 26)));
		this.states.applyOwnerUpdate(Map.of(), queueCount(8, 10));
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(26);
	}

	@Test
	void areUpdatedByAFormerOwnerButNotItsCount() {
		this.states.applyOwnerUpdate(Map.of(), queueCount(5, 3));
		this.states.applyOwnerUpdate(Map.of("a", SubmissionState.COMPLETED), queueCount(4, 9));
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(3);
	}

	@Test
	void ignoreAnUnreadableRow() {
		this.states.changed(List.of(new TableRow(JobTables.STATES, JobTables.POOL_PARTITION, "b", "{", 1, false),
				progressRow(SubmissionState.RUNNING)));
		assertThat(this.states.state("a")).contains(SubmissionState.RUNNING);
		assertThat(this.states.state("b")).isEmpty();
	}

	@Test
	void areUncertainWhileTheProgressRowIsUnreadable() {
		this.states.changed(List.of(progressRow(SubmissionState.RUNNING), row("a", "PAUSED"),
				row(JobTables.SUMMARY_KEY, "none"), progressRow(SubmissionState.RUNNING, "b")));
		assertThat(this.states.isUnreadable("a")).isTrue();
		assertThat(this.states.isUnreadable("b")).isFalse();
		this.states.changed(List.of(progressRow(SubmissionState.COMPLETED)));
		assertThat(this.states.isUnreadable("a")).isFalse();
	}

	@Test
	void stayFinalIfTheProgressRowBecomesUnreadable() {
		this.states.changed(List.of(progressRow(SubmissionState.FAILED), row("a", "PAUSED")));
		assertThat(this.states.isUnreadable("a")).isFalse();
		assertThat(this.states.state("a")).contains(SubmissionState.FAILED);
	}

	@Nested
	class TheAgeOfACount {

		private void advance(long millis) {
			JobStatesTests.this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
		}

		private void confirmCopy(TableRow... rows) {
			JobStates states = JobStatesTests.this.states;
			states.onCallSent(Duration.ZERO);
			advance(10);
			states.changed(List.of(rows));
			states.onAnswerDelivered(rows.length == 0);
		}

		private WaitingJobs count() {
			return JobStatesTests.this.states.waitingJobs("q");
		}

		@Test
		void isNotKnownBeforeTheTableHasConfirmedTheCopyOnce() {
			JobStatesTests.this.states.applyOwnerUpdate(Map.of(), queueCount(5, 3));
			assertThat(count().mayBeOutdated()).isTrue();
			confirmCopy(summaryRow(5, 3));
			assertThat(count().mayBeOutdated()).isTrue();
			JobStatesTests.this.states.applyOwnerUpdate(Map.of(), queueCount(6, 4));
			assertThat(count().mayBeOutdated()).isFalse();
		}

		@Test
		void isTheTimeSinceTheTableHadNoNewerOne() {
			confirmCopy(summaryRow(5, 3));
			advance(2000);
			JobStatesTests.this.states.applyOwnerUpdate(Map.of(), queueCount(9, 4));
			assertThat(count().ageMillis()).isEqualTo(2010);
			confirmCopy(summaryRow(12, 6));
			assertThat(count().ageMillis()).isEqualTo(2020);
			confirmCopy(summaryRow(14, 7));
			assertThat(count().ageMillis()).isEqualTo(20);
		}

		@Test
		void growsWhileNoOwnerCountsAlthoughTheTableAnswers() {
			confirmCopy();
			confirmCopy(summaryRow(5, 3));
			for (int i = 0; i < 5; i++) {
				advance(800);
				confirmCopy();
			}
			assertThat(count().copyAgeMillis()).isEqualTo(10);
			assertThat(count().mayBeOutdated()).isTrue();
		}

		@Test
		void growsWhileTheTableDoesNotAnswerAlthoughMessagesArriveLate() {
			confirmCopy(summaryRow(5, 3));
			for (int version = 6; version < 12; version++) {
				advance(800);
				JobStatesTests.this.states.applyOwnerUpdate(Map.of(), queueCount(version, 4));
			}
			assertThat(count().mayBeOutdated()).isTrue();
		}

	}

}
