package org.monsoonrelay.logic.rows;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a row of progress that grows with each failed run of long-running tasks.
 */
class FailingLongRunningTasksTests {

	private static final int TASKS = 48;

	/** Size that the table accepts, bytes. */
	private static final int MAX_ROW_BYTES = 65_536;

	private static final StepKey STEP = new StepKey("5c0e7a21d94b36f8", 0, 0);

	private static final String FORMER_ROW = """
			{"state":"RUNNING","steps":{"0.0":{"done":[],"failedAttempts":{"3":[9,1,4]},"checkpoints":{"3":"c"},
			"highestAttempt":12,"crashes":{}}}}""";

	private final SubmittedJob job = job();

	private static SubmittedJob job() {
		StepSpec step = new StepSpec(TASKS, new Resources(1, 1, 0), 100, List.of(), false, false, "", "", 0, false,
				false, true, false);
		return new SubmittedJob(new Submission(STEP.job(), new QueuePolicy("q", "s", 0, 3, 2.0, 50, null), "",
				List.of(step), Timetable.AT_ONCE, 1000));
	}

	private StepProgress progress() {
		return this.job.progress(STEP);
	}

	@Test
	void doNotLetTheRowGrowWithTheirFailures() {
		this.job.markStarted();
		for (int attempt = 1; attempt <= 20_000; attempt++) {
			for (int task = 0; task < TASKS; task++) {
				progress().recordAttempt(attempt);
				progress().markFailed(task, attempt);
				this.job.updateState(STEP);
			}
		}
		String row = Json.write(this.job.toProgress());
		assertThat(row.getBytes(StandardCharsets.UTF_8).length).isLessThan(MAX_ROW_BYTES / 100);
		assertThat(this.job.state()).isEqualTo(SubmissionState.RUNNING);
		SubmittedJob next = job();
		next.restore(Json.read(row, JobProgress.class));
		assertThat(next.progress(STEP).highestAttempt()).isEqualTo(20_000);
	}

	@Test
	void countAFailureOnceIfItIsReportedAgain() {
		assertThat(progress().markFailed(5, 7)).isTrue();
		assertThat(progress().markFailed(5, 7)).isFalse();
		assertThat(progress().markFailed(6, 7)).isTrue();
		assertThat(progress().markFailed(5, 8)).isTrue();
	}

	@Test
	void loseTheListedFailuresOfARowOfAnEarlierReleaseAndNothingElse() throws JsonProcessingException {
		JobProgress former = Json.readRow(FORMER_ROW, JobProgress.class);
		this.job.restore(former);
		this.job.join(former);
		assertThat(Json.write(this.job.toProgress())).doesNotContain("[9,1,4]");
		assertThat(progress().highestAttempt()).isEqualTo(12);
		assertThat(progress().checkpoint(3)).isEqualTo("c");
		assertThat(progress().markFailed(3, 9)).isFalse();
		assertThat(this.job.state()).isEqualTo(SubmissionState.RUNNING);
	}

}
