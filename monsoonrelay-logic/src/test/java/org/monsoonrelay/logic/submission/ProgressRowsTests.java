package org.monsoonrelay.logic.submission;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

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
			JobProgress read = Json.readRow(former, JobProgress.class);
			assertThat(next.toProgress().differenceTo(read, next.submission()).failures()).isZero();
			assertThat(read.differenceTo(next.toProgress(), next.submission()).failures()).isZero();
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

	@Nested
	class Timetables {

		private static final int OCCURRENCES = 96;

		private static final int STEPS = 10;

		private final SubmittedJob job = timetable();

		private static SubmittedJob timetable() {
			StepSpec step = job(1, false).submission().steps().get(0);
			return new SubmittedJob(new Submission(ID, POLICY, "", Collections.nCopies(STEPS, step),
					new Timetable(1000, 250, OCCURRENCES), 1000));
		}

		private void complete(SubmittedJob job, int occurrence, int steps) {
			for (int step = 0; step < steps; step++) {
				StepKey key = new StepKey(ID, occurrence, step);
				job.progress(key).recordAttempt(occurrence + 1);
				job.progress(key).markDone(0);
				job.updateState(key);
			}
		}

		private void complete(int... occurrences) {
			this.job.markStarted();
			Arrays.stream(occurrences).forEach((occurrence) -> complete(this.job, occurrence, STEPS));
		}

		@Test
		void haveOneRecordForAllOccurrencesThatAreComplete() {
			complete(IntStream.range(0, OCCURRENCES - 1).toArray());
			assertThat(row(this.job).length()).isLessThan(200);
			assertThat(this.job.isEnded()).isFalse();
			complete(OCCURRENCES - 1);
			assertThat(this.job.state()).isEqualTo(SubmissionState.COMPLETED);
		}

		@Test
		void continueUnderTheNextOwnerWithWhatIsNotComplete() throws JsonProcessingException {
			complete(0, 1, 2, 5);
			complete(this.job, 4, 3);
			SubmittedJob next = restored(this.job, row(this.job));
			assertThat(next.toProgress()).isEqualTo(this.job.toProgress());
			assertThat(IntStream.range(0, OCCURRENCES).filter(next::isComplete)).containsExactly(0, 1, 2, 5);
			assertThat(next.progress(new StepKey(ID, 5, 9)).isComplete()).isTrue();
			assertThat(next.progress(new StepKey(ID, 4, 2)).isDone(0)).isTrue();
			assertThat(next.progress(new StepKey(ID, 4, 2)).highestAttempt()).isEqualTo(5);
			assertThat(next.progress(new StepKey(ID, 4, 3)).isDone(0)).isFalse();
			assertThat(next.toProgress().matches(this.job.submission())).isTrue();
		}

		@Test
		void areFoldedWhenARowOfAnEarlierReleaseIsRead() throws JsonProcessingException {
			String step = "\"%d.%d\":{\"done\":[0],\"failedAttempts\":{},\"checkpoints\":{},\"highestAttempt\":1,\"crashes\":{}}";
			String former = IntStream.range(0, 75 * STEPS)
				.mapToObj((i) -> step.formatted(i / STEPS, i % STEPS))
				.collect(Collectors.joining(",", "{\"state\":\"RUNNING\",\"steps\":{", "}}"));
			SubmittedJob next = restored(this.job, former);
			assertThat(IntStream.range(0, OCCURRENCES).filter(next::isComplete)).hasSize(75);
			assertThat(row(next).length()).isLessThan(200);
			JobProgress read = Json.readRow(former, JobProgress.class);
			assertThat(read.differenceTo(next.toProgress(), next.submission()).doneTasks()).isZero();
			assertThat(next.toProgress().differenceTo(read, next.submission()).doneTasks()).isZero();
			assertThat(read.differenceTo(this.job.toProgress(), next.submission()).doneTasks()).isEqualTo(75 * STEPS);
		}

		// An earlier release would start complete occurrences again if it took the row
		// for one that does not mention them.
		@Test
		void areNotReadByEarlierReleasesOnceAnOccurrenceIsComplete() throws JsonProcessingException {
			complete(this.job, 0, STEPS - 1);
			assertThat(readByEarlierRelease(row(this.job)).matches(this.job.submission())).isTrue();
			complete(0);
			assertThat(readByEarlierRelease(row(this.job)).matches(this.job.submission())).isFalse();
		}

		@Test
		void areRefusedWithOccurrencesThatTheJobDoesNotHave() throws JsonProcessingException {
			String row = "{\"state\":\"RUNNING\",\"steps\":{\"0-%d\":{\"done\":[],\"failedAttempts\":{},\"checkpoints\":{}}}}";
			assertThat(Json.readRow(row.formatted(95), JobProgress.class).matches(this.job.submission())).isTrue();
			assertThat(Json.readRow(row.formatted(96), JobProgress.class).matches(this.job.submission())).isFalse();
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

		boolean matches(Submission job) {
			return this.steps.keySet().stream().allMatch((key) -> {
				Matcher local = Pattern.compile("(\\d{1,9})\\.(\\d{1,9})").matcher(key);
				return local.matches() && Integer.parseInt(local.group(1)) < job.timetable().occurrences()
						&& Integer.parseInt(local.group(2)) < job.steps().size();
			});
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
