package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.SubmissionState;

import static org.assertj.core.api.Assertions.assertThat;

class JobStatesTests {

	private final JobStates states = new JobStates(new UnreadableRows(DecisionLog.NONE));

	private static TableRow row(String key, Object value) {
		return new TableRow(JobTables.PROGRESS, JobTables.POOL_PARTITION, key, Json.write(value), 1, false);
	}

	private static TableRow progress(SubmissionState state) {
		return progress(state, "a");
	}

	private static TableRow progress(SubmissionState state, String job) {
		return row(job, new JobProgress(state, Map.of()));
	}

	private static TableRow count(long version, int waiting) {
		return new TableRow(JobTables.PROGRESS, JobTables.POOL_PARTITION, JobTables.SUMMARY_KEY,
				Json.write(new QueueSummary(Map.of("q", waiting))), version, false);
	}

	private static Optional<QueueCount> counted(long version, int waiting) {
		return Optional.of(new QueueCount(new QueueSummary(Map.of("q", waiting)), version));
	}

	@Test
	void areTheOwnersLastDurableWord() {
		this.states.update("a", SubmissionState.QUEUED);
		this.states.changed(List.of(progress(SubmissionState.RUNNING), progress(SubmissionState.COMPLETED)));
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
	}

	@Test
	void doNotGoBackFromAnEnd() {
		this.states.changed(List.of(progress(SubmissionState.FAILED)));
		this.states.update("a", SubmissionState.QUEUED);
		this.states.update("a", SubmissionState.CANCELLED);
		assertThat(this.states.state("a")).contains(SubmissionState.FAILED);
	}

	@Test
	void countWhatWaitsByQueue() {
		this.states.changed(List.of(row(JobTables.SUMMARY_KEY, new QueueSummary(Map.of("q", 3)))));
		assertThat(this.states.pending("q")).isEqualTo(3);
		assertThat(this.states.pending("other")).isZero();
	}

	@Test
	void areTakenFromOwnersWithoutTheFeed() {
		this.states.applyOwnerUpdate(Map.of("a", SubmissionState.RUNNING), counted(4, 3));
		this.states.applyOwnerUpdate(Map.of("a", SubmissionState.COMPLETED), Optional.empty());
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
		assertThat(this.states.pending("q")).isEqualTo(3);
	}

	/**
	 * A host said that 10 jobs wait where 26 had waited for 5 s. It hears a count in two
	 * ways, by the table's feed and by the owner's message, and took whatever came last.
	 * A page of the feed that was read before the owner's write and arrives after its
	 * message brought the older count back, which stayed: the owner tells a count again
	 * only once it has changed.
	 */
	@Test
	void keepTheNewerCountWhenTheFeedBringsAnOlderOne() {
		this.states.applyOwnerUpdate(Map.of(), counted(9, 26));
		this.states.changed(List.of(count(8, 10)));
		assertThat(this.states.pending("q")).isEqualTo(26);
		this.states.snapshot(JobTables.POOL_PARTITION, List.of(count(10, 27)));
		assertThat(this.states.pending("q")).isEqualTo(27);
	}

	@Test
	void keepTheNewerCountWhenTheOwnersMessageComesLate() {
		this.states.changed(List.of(count(9, 26)));
		this.states.applyOwnerUpdate(Map.of(), counted(8, 10));
		assertThat(this.states.pending("q")).isEqualTo(26);
	}

	@Test
	void areTakenFromAFormerOwnerButNotItsCount() {
		this.states.applyOwnerUpdate(Map.of(), counted(5, 3));
		this.states.applyOwnerUpdate(Map.of("a", SubmissionState.COMPLETED), counted(4, 9));
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
		assertThat(this.states.pending("q")).isEqualTo(3);
	}

	@Test
	void passOverARowThatIsNotReadable() {
		this.states.changed(List.of(new TableRow(JobTables.PROGRESS, JobTables.POOL_PARTITION, "b", "{", 1, false),
				progress(SubmissionState.RUNNING)));
		assertThat(this.states.state("a")).contains(SubmissionState.RUNNING);
		assertThat(this.states.state("b")).isEmpty();
	}

	@Test
	void areNotToldWhileTheOwnersWordCannotBeRead() {
		this.states.changed(List.of(progress(SubmissionState.RUNNING), row("a", "PAUSED"),
				row(JobTables.SUMMARY_KEY, "none"), progress(SubmissionState.RUNNING, "b")));
		assertThat(this.states.isUnreadable("a")).isTrue();
		assertThat(this.states.isUnreadable("b")).isFalse();
		this.states.changed(List.of(progress(SubmissionState.COMPLETED)));
		assertThat(this.states.isUnreadable("a")).isFalse();
	}

	@Test
	void stayFinalIfTheOwnersWordCannotBeReadAnyMore() {
		this.states.changed(List.of(progress(SubmissionState.FAILED), row("a", "PAUSED")));
		assertThat(this.states.isUnreadable("a")).isFalse();
		assertThat(this.states.state("a")).contains(SubmissionState.FAILED);
	}

}
