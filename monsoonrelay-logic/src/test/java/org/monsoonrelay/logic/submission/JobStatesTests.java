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

	@Test
	void areTheOwnersLastDurableWord() {
		this.states.note("a", SubmissionState.QUEUED);
		this.states.changed(List.of(progress(SubmissionState.RUNNING), progress(SubmissionState.COMPLETED)));
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
	}

	@Test
	void doNotGoBackFromAnEnd() {
		this.states.changed(List.of(progress(SubmissionState.FAILED)));
		this.states.note("a", SubmissionState.QUEUED);
		this.states.note("a", SubmissionState.CANCELLED);
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
		this.states.told(4, Map.of("a", SubmissionState.RUNNING), Optional.of(new QueueSummary(Map.of("q", 3))));
		this.states.told(4, Map.of("a", SubmissionState.COMPLETED), Optional.empty());
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
		assertThat(this.states.pending("q")).isEqualTo(3);
	}

	@Test
	void areTakenFromAFormerOwnerButNotItsCount() {
		this.states.told(5, Map.of(), Optional.of(new QueueSummary(Map.of("q", 3))));
		this.states.told(4, Map.of("a", SubmissionState.COMPLETED), Optional.of(new QueueSummary(Map.of("q", 9))));
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
		assertThat(this.states.isUnclear("a")).isTrue();
		assertThat(this.states.isUnclear("b")).isFalse();
		this.states.changed(List.of(progress(SubmissionState.COMPLETED)));
		assertThat(this.states.isUnclear("a")).isFalse();
	}

	@Test
	void stayFinalIfTheOwnersWordCannotBeReadAnyMore() {
		this.states.changed(List.of(progress(SubmissionState.FAILED), row("a", "PAUSED")));
		assertThat(this.states.isUnclear("a")).isFalse();
		assertThat(this.states.state("a")).contains(SubmissionState.FAILED);
	}

}
