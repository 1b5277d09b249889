package org.monsoonrelay.logic.rows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.core.JsonProcessingException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.CrashEvidence;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskCrashes;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against rows of progress that the table does not accept, as they have a record
 * for each step of each occurrence, and against losing what such a row tells.
 */
class ProgressRowTests {

	private static final String ID = "5c0e7a21d94b36f8";

	private static final int MAX_BYTES = ProgressRow.DEFAULT_MAX_BYTES;

	/** Attempts that a queue allows. */
	private static final int MAX_ATTEMPTS = 3;

	private static SubmittedJob job(int occurrences, int... counts) {
		List<StepSpec> steps = new ArrayList<>();
		for (int count : counts) {
			steps.add(new StepSpec(count, new Resources(1, 1, 0), 100, List.of(), false, false, "", "", 0, false, true,
					false, false));
		}
		return new SubmittedJob(new Submission(ID, new QueuePolicy("q", "s", 0, MAX_ATTEMPTS, 2.0, 50, null), "", steps,
				new Timetable(1000, 250, occurrences), 1000));
	}

	private static String row(SubmittedJob job) {
		return ProgressRow.write(job.toProgress(), job.submission(), MAX_BYTES);
	}

	private static JobProgress read(String row) {
		try {
			return Json.readRow(row, ProgressRow.class).progress();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static SubmittedJob restored(SubmittedJob job) {
		SubmittedJob next = new SubmittedJob(job.submission());
		next.restore(read(row(job)));
		return next;
	}

	private static int bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

	private static boolean isCompact(String row) {
		return row.contains("\"compact\"");
	}

	private static void recordAnything(SubmittedJob job, Random random, int attempts) {
		Submission submission = job.submission();
		job.markStarted();
		for (int occurrence = 0; occurrence < submission.timetable().occurrences(); occurrence++) {
			for (int step = 0; step < submission.steps().size(); step++) {
				StepKey key = new StepKey(ID, occurrence, step);
				for (int index = 0; index < submission.steps().get(step).count(); index++) {
					recordAnything(job, key, index, random, attempts);
				}
			}
		}
	}

	private static void recordAnything(SubmittedJob job, StepKey key, int index, Random random, int attempts) {
		StepProgress progress = job.progress(key);
		for (int i = random.nextInt(MAX_ATTEMPTS); i > 0; i--) {
			int attempt = 1 + random.nextInt(attempts);
			progress.recordAttempt(attempt);
			progress.markFailed(index, attempt);
		}
		switch (random.nextInt(4)) {
			case 0 -> progress.markDone(index);
			case 1 -> job.recordCrash(key.task(index), CrashEvidence.POSSIBLE);
			case 2 -> job.recordStart(key.task(index));
			default -> progress.saveCheckpoint(index, "00000bb87a21d94b");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "\"done\":\"b*\"", "\"done\":null", "\"done\":\"rgB\"", "\"steps\":\"rI\"",
			"\"counts\":[8001]", "\"counts\":[-1,3]", "\"counts\":[]", "\"occurrences\":0", "\"failed\":null",
			"\"crashes\":[{\"tasks\":\"rA\"}]" })
	void malformedCompactRowsAreRefused(String field) {
		String row = "{\"state\":\"RUNNING\",\"compact\":{\"occurrences\":1,\"counts\":[2],\"highestAttempt\":1,"
				+ "\"steps\":\"rA\",\"done\":\"rA\",\"failed\":{},\"crashes\":[],\"checkpoints\":{}}}";
		assertThat(read(row).steps().get("0.0").done()).containsExactly(0);
		String name = field.substring(0, field.indexOf(':'));
		String malformed = row.replaceFirst(name + ":(\"[^\"]*\"|\\[[^]]*]|\\{}|\\d+)", field.replace("$", "\\$"));
		assertThat(malformed).isNotEqualTo(row);
		assertThatExceptionOfType(JsonProcessingException.class)
			.isThrownBy(() -> Json.readRow(malformed, ProgressRow.class));
	}

	@Group
	class AnyProgress {

		@Property(tries = 100, seed = "7")
		void isReadWithAllThatLimitsFurtherStarts(@ForAll Random random) {
			SubmittedJob job = job(1 + random.nextInt(20), 1 + random.nextInt(100), 1 + random.nextInt(100));
			recordAnything(job, random, 1 + random.nextInt(200));
			JobProgress written = job.toProgress();
			JobProgress read = read(row(job));
			assertThat(read.matches(job.submission())).isTrue();
			assertThat(read.state()).isEqualTo(written.state());
			assertThat(read.steps().keySet()).isEqualTo(written.steps().keySet());
			written.steps().forEach((local, saved) -> assertKeeps(read.steps().get(local), saved));
			assertThat(written.differenceTo(read)).isEqualTo(new JobProgress.Difference(0, 0));
			assertThat(read.differenceTo(written)).isEqualTo(new JobProgress.Difference(0, 0));
		}

		private void assertKeeps(StepRecord read, StepRecord saved) {
			assertThat(read.done()).isEqualTo(saved.done());
			assertThat(read.crashes()).isEqualTo(saved.crashes());
			assertThat(read.highestAttempt()).isGreaterThanOrEqualTo(saved.highestAttempt());
			assertThat(saved.checkpoints()).containsAllEntriesOf(read.checkpoints());
		}

		// As long as owners do not change hundreds of times during the job.
		@Property(tries = 10, seed = "7")
		void ofTheLargestJobsFitsIntoARow(@ForAll Random random) {
			SubmittedJob wide = job(1, Submission.MAX_TASKS);
			recordAnything(wide, random, 500);
			assertThat(bytes(row(wide))).isLessThanOrEqualTo(MAX_BYTES);
			SubmittedJob frequent = job(Submission.MAX_TASKS / 10, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1);
			recordAnything(frequent, random, 500);
			assertThat(bytes(row(frequent))).isLessThanOrEqualTo(MAX_BYTES);
		}

	}

	@Nested
	class AJobThatRunsManyTimes {

		private static final int OCCURRENCES = 96;

		private static final int STEPS = 10;

		private final SubmittedJob job = job(OCCURRENCES, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1);

		private void complete(int occurrence) {
			this.job.markStarted();
			for (int step = 0; step < STEPS; step++) {
				StepKey key = new StepKey(ID, occurrence, step);
				this.job.progress(key).recordAttempt(1);
				this.job.progress(key).markDone(0);
				this.job.updateState(key);
			}
		}

		@Test
		void hasASmallRowUntilItsLastOccurrence() {
			for (int occurrence = 0; occurrence < OCCURRENCES - 1; occurrence++) {
				complete(occurrence);
				assertThat(bytes(row(this.job))).isLessThanOrEqualTo(MAX_BYTES);
			}
			SubmittedJob next = restored(this.job);
			for (int step = 0; step < STEPS; step++) {
				assertThat(next.progress(new StepKey(ID, OCCURRENCES - 2, step)).isComplete()).isTrue();
				assertThat(next.progress(new StepKey(ID, OCCURRENCES - 1, step)).isComplete()).isFalse();
			}
			complete(OCCURRENCES - 1);
			assertThat(this.job.state()).isEqualTo(SubmissionState.COMPLETED);
		}

	}

	@Nested
	class Checkpoints {

		@Test
		void areLeftOutOfARowThatWouldBeTooLargeWithThem() {
			SubmittedJob job = job(1, 1000);
			StepProgress progress = job.progress(new StepKey(ID, 0, 0));
			for (int index = 0; index < 1000; index++) {
				progress.saveCheckpoint(index, "\u0905\"".repeat(100));
			}
			progress.markDone(999);
			String row = row(job);
			assertThat(bytes(row)).isBetween(MAX_BYTES - 1000, MAX_BYTES);
			StepProgress next = restored(job).progress(new StepKey(ID, 0, 0));
			assertThat(next.checkpoint(0)).isEqualTo(progress.checkpoint(0));
			assertThat(next.checkpoint(998)).isEmpty();
			assertThat(next.isDone(999)).isTrue();
			assertThat(progress.checkpoint(998)).isNotEmpty();
		}

	}

	@Nested
	class EarlierReleases {

		@Test
		void readTheRowsOfMostJobsAsBefore() throws JsonProcessingException {
			SubmittedJob job = job(2, 20, 20);
			recordAnything(job, new Random(1), 9);
			assertThat(row(job)).isEqualTo(Json.write(job.toProgress()));
			assertThat(Json.readRow(row(job), FormerProgress.class).steps()).hasSize(4);
		}

		@Test
		void haveTheirRowsRead() {
			SubmittedJob job = job(96, 5, 5);
			recordAnything(job, new Random(1), 9);
			assertThat(read(Json.write(job.toProgress()))).isEqualTo(job.toProgress());
		}

		// An earlier release that read the row without its completed tasks would start
		// them again.
		@Test
		void doNotReadACompactRow() {
			SubmittedJob job = job(96, 5, 5);
			recordAnything(job, new Random(1), 9);
			assertThat(isCompact(row(job))).isTrue();
			assertThatExceptionOfType(JsonProcessingException.class)
				.isThrownBy(() -> Json.readRow(row(job), FormerProgress.class));
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

	}

}
