package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskCrashes;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Rows of progress do not grow with what happens to a job, and processes of this and of
 * earlier releases read those of each other.
 */
class ProgressRowsTests {

	private static final int ROW_BYTES = 65_536;

	private static final String ID = "5c0e7a21d94b36f8";

	private static final QueuePolicy POLICY = new QueuePolicy("q", "s", 0, 3, 2.0, 50, null);

	private static SubmittedJob job(int tasks, boolean isLongRunning) {
		StepSpec step = new StepSpec(tasks, new Resources(1, 1, 0), 100, List.of(), false, false, "", "", 0, false,
				false, isLongRunning, false);
		return new SubmittedJob(new Submission(ID, POLICY, "", List.of(step), Timetable.AT_ONCE, 1000));
	}

	private static SubmittedJob restored(SubmittedJob job, String row) throws JsonProcessingException {
		SubmittedJob next = new SubmittedJob(job.submission());
		next.restore(Json.readRow(row, JobProgress.class));
		return next;
	}

	private static String row(SubmittedJob job) {
		return Json.write(job.toProgress());
	}

	private static FormerProgress readByEarlierRelease(String row) throws JsonProcessingException {
		return Json.readRow(row, FormerProgress.class);
	}

	@Nested
	class LongRunningTasks {

		private static final StepKey STEP = new StepKey(ID, 0, 0);

		private final SubmittedJob job = job(48, true);

		@Test
		void thatFailForEverDoNotLetTheRowGrow() {
			for (int attempt = 1; attempt <= 10_000; attempt++) {
				for (int task = 0; task < 48; task++) {
					this.job.progress(STEP).markFailed(task, attempt);
				}
			}
			assertThat(row(this.job).length()).isLessThan(ROW_BYTES / 10);
			assertThat(this.job.progress(STEP).failures(47)).isEqualTo(10_000);
		}

		@Test
		void countNoFailureAgainThatIsReportedAgainToTheNextOwner() throws JsonProcessingException {
			this.job.progress(STEP).markFailed(0, 1);
			this.job.progress(STEP).markFailed(0, 7);
			SubmittedJob next = restored(this.job, row(this.job));
			assertThat(next.progress(STEP).markFailed(0, 7)).isFalse();
			assertThat(next.progress(STEP).markFailed(0, 8)).isTrue();
			assertThat(next.progress(STEP).failures(0)).isEqualTo(3);
		}

		@Test
		void areReadFromRowsOfEarlierReleases() throws JsonProcessingException {
			String former = """
					{"state":"RUNNING","steps":{"0.0":{"done":[],"failedAttempts":{"3":[9,1,4]},"checkpoints":{},
					"highestAttempt":9,"crashes":{}}}}""";
			SubmittedJob next = restored(this.job, former);
			assertThat(next.progress(STEP).failures(3)).isEqualTo(3);
			assertThat(next.progress(STEP).markFailed(3, 4)).isFalse();
			assertThat(next.toProgress().differenceTo(Json.readRow(former, JobProgress.class)).failures()).isZero();
			assertThat(Json.readRow(former, JobProgress.class).differenceTo(next.toProgress()).failures()).isZero();
		}

		@Test
		void areReadByEarlierReleasesWithoutTheirFailures() throws JsonProcessingException {
			this.job.progress(STEP).markFailed(3, 9);
			this.job.progress(STEP).recordAttempt(9);
			this.job.progress(STEP).saveCheckpoint(3, "c");
			FormerStep step = readByEarlierRelease(row(this.job)).steps().get("0.0");
			assertThat(step.highestAttempt()).isEqualTo(9);
			assertThat(step.checkpoints()).containsEntry(3, "c");
			assertThat(step.failedAttempts()).isEmpty();
		}

	}

	@Nested
	class LimitedTasks {

		private static final StepKey STEP = new StepKey(ID, 0, 0);

		private final SubmittedJob job = job(4, false);

		@Test
		void nameEachFailedAttemptToEarlierReleases() throws JsonProcessingException {
			this.job.progress(STEP).markFailed(1, 5);
			this.job.progress(STEP).markFailed(1, 2);
			assertThat(readByEarlierRelease(row(this.job)).steps().get("0.0").failedAttempts().get(1)).containsOnly(2,
					5);
		}

		@Test
		void keepNoFailuresOnceTheyAreDone() throws JsonProcessingException {
			this.job.progress(STEP).markFailed(1, 1);
			this.job.progress(STEP).markDone(1);
			assertThat(this.job.progress(STEP).markFailed(1, 2)).isFalse();
			FormerStep step = readByEarlierRelease(row(this.job)).steps().get("0.0");
			assertThat(step.failedAttempts()).isEmpty();
			assertThat(step.done()).containsExactly(1);
		}

		@Test
		void thatAreDoneDoNotFailTheirJobByLateReports() {
			this.job.progress(STEP).markDone(1);
			for (int attempt = 1; attempt <= POLICY.maximumAttempts(); attempt++) {
				this.job.progress(STEP).markFailed(1, attempt);
			}
			this.job.updateState(STEP);
			assertThat(this.job.isEnded()).isFalse();
		}

	}

	/**
	 * A row as earlier releases read it. Immutable.
	 *
	 * @param state the state
	 * @param steps records of the steps
	 */
	private record FormerProgress(SubmissionState state, Map<String, FormerStep> steps) {

		FormerProgress {
			steps = Map.copyOf(steps);
		}

	}

	/**
	 * A step as earlier releases read it. Immutable.
	 *
	 * @param done completed tasks
	 * @param failedAttempts failed attempts by task
	 * @param checkpoints checkpoints by task
	 * @param highestAttempt highest attempt
	 * @param crashes crashes by task
	 */
	private record FormerStep(List<Integer> done, Map<Integer, List<Integer>> failedAttempts,
			Map<Integer, String> checkpoints, int highestAttempt, Map<Integer, TaskCrashes> crashes) {

		FormerStep {
			done = List.copyOf(done);
			failedAttempts.values().forEach(List::copyOf);
			failedAttempts = Map.copyOf(failedAttempts);
			checkpoints = Map.copyOf(checkpoints);
		}

	}

}
