package org.monsoonrelay.logic.rows;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.CrashEvidence;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

class RowLimitsTests {

	private static final String ID = "5c0e7a21d94b36f8";

	private static StepSpec step(int tasks, boolean isGang, boolean isLongRunning) {
		return new StepSpec(tasks, new Resources(1, 1, 0), 100, List.of(), isGang, false, "", "", 0, false, true,
				isLongRunning, false);
	}

	private static Submission job(int maximumAttempts, int occurrences, StepSpec... steps) {
		return new Submission(ID, new QueuePolicy("q", "s", 0, maximumAttempts, 2.0, 50, null), "", List.of(steps),
				new Timetable(1000, 250, occurrences), 1000);
	}

	private static int size(String value) {
		return value.getBytes(StandardCharsets.UTF_8).length;
	}

	private static int openBound(Submission job, int occurrences) {
		return (int) (ProgressSize.fixed() + occurrences * ProgressSize.occurrence(job));
	}

	/** What happens to tasks of the occurrences that may be open. */
	private static void disturb(SubmittedJob job, RowLimits limits, Random random) {
		Submission submission = job.submission();
		int[] open = IntStream.range(0, submission.timetable().occurrences())
			.filter((occurrence) -> !job.isComplete(occurrence))
			.limit(limits.openOccurrences(submission))
			.toArray();
		StepKey key = new StepKey(ID, open[random.nextInt(open.length)], random.nextInt(submission.steps().size()));
		int task = random.nextInt(submission.steps().get(key.step()).count());
		int attempt = Integer.MAX_VALUE - random.nextInt(50);
		StepProgress progress = job.progress(key);
		progress.recordAttempt(attempt);
		switch (random.nextInt(8)) {
			case 0, 1, 2 -> progress.markDone(task);
			case 3 -> progress.markFailed(task, attempt);
			case 4 -> job.recordStart(new TaskKey(ID, key.occurrence(), key.step(), task));
			case 5 -> job.recordCrash(new TaskKey(ID, key.occurrence(), key.step(), task),
					random.nextBoolean() ? CrashEvidence.CONFIRMED : CrashEvidence.POSSIBLE);
			default -> progress.saveCheckpoint(task, "c\u00e9".repeat(random.nextInt(100)));
		}
		job.updateState(key);
	}

	@Property(tries = 300, seed = "37")
	void noSequenceOfEventsLetsTheProgressExceedItsBound(@ForAll @IntRange(min = 1, max = 12) int tasks,
			@ForAll @IntRange(min = 1, max = 3) int steps, @ForAll @IntRange(min = 1, max = 12) int occurrences,
			@ForAll @IntRange(min = 2, max = 5) int maximumAttempts, @ForAll @IntRange(min = 1, max = 5) int fitting,
			@ForAll boolean isGang, @ForAll boolean isLongRunning, @ForAll long seed) {
		Submission submission = job(maximumAttempts, occurrences,
				Collections.nCopies(steps, step(tasks, isGang, isLongRunning)).toArray(StepSpec[]::new));
		RowLimits limits = new RowLimits(openBound(submission, isLongRunning ? occurrences : fitting));
		SubmittedJob job = new SubmittedJob(submission);
		Random random = new Random(seed);
		for (int i = 0; i < 400 && !job.isEnded(); i++) {
			disturb(job, limits, random);
			assertThat(size(limits.encode(job.toProgress()))).isLessThanOrEqualTo(limits.rowBytes());
		}
	}

	@Test
	void theProgressOfAJobStaysBelowItsBoundIfAllThatCanHappenHappensToAllTasks() {
		Submission submission = job(4, 1, step(500, false, false));
		SubmittedJob job = new SubmittedJob(submission);
		StepKey key = new StepKey(ID, 0, 0);
		job.markStarted();
		for (int task = 0; task < 500; task++) {
			for (int attempt = 0; attempt < 3; attempt++) {
				job.progress(key).markFailed(task, Integer.MAX_VALUE - attempt);
			}
			job.recordCrash(key.task(task), CrashEvidence.CONFIRMED);
			job.recordCrash(key.task(task), CrashEvidence.CONFIRMED);
			job.progress(key).recordAttempt(Integer.MAX_VALUE);
		}
		job.updateState(key);
		assertThat(job.isEnded()).isFalse();
		int bytes = size(Json.write(job.toProgress()));
		assertThat(bytes).isBetween(openBound(submission, 1) * 3 / 4, openBound(submission, 1));
	}

	@Test
	void checkpointsAreWrittenWhereTheyFitAndLeftOutWhereTheyDoNot() {
		Submission submission = job(3, 1, step(2, false, false));
		SubmittedJob job = new SubmittedJob(submission);
		job.progress(new StepKey(ID, 0, 0)).saveCheckpoint(0, "saved");
		job.progress(new StepKey(ID, 0, 0)).markFailed(0, 1);
		RowLimits limits = new RowLimits(openBound(submission, 1));
		assertThat(limits.encode(job.toProgress())).contains("saved", "\"failedAttempts\":{\"0\":[1]}");
		job.progress(new StepKey(ID, 0, 0)).saveCheckpoint(1, "x".repeat(limits.rowBytes()));
		assertThat(limits.encode(job.toProgress())).contains("\"failedAttempts\":{\"0\":[1]}").doesNotContain("saved");
	}

	@Test
	void aJobThatIsTooLargeAsItIsHandedInDoesNotFit() {
		StepSpec[] steps = Collections.nCopies(1000, step(1, false, false)).toArray(StepSpec[]::new);
		RowFit fit = RowLimits.DEFAULT.fit(job(3, 1, steps));
		assertThat(fit.cause()).isEqualTo(RowFit.Cause.SUBMISSION);
		assertThat(fit.bytes()).isGreaterThan(RowLimits.DEFAULT.rowBytes());
	}

	@Test
	void aJobWithMoreTasksThanItsProgressHasRoomForDoesNotFit() {
		assertThat(RowLimits.DEFAULT.fit(job(3, 1, step(450, false, false))).fits()).isTrue();
		assertThat(RowLimits.DEFAULT.fit(job(3, 1, step(700, false, false))).cause()).isEqualTo(RowFit.Cause.TASKS);
	}

	@Test
	void aTimetableIsNotLimitedAsItsOccurrencesAreOpenedOneAfterAnother() {
		Submission timetable = job(3, 800, Collections.nCopies(10, step(1, false, false)).toArray(StepSpec[]::new));
		assertThat(RowLimits.DEFAULT.fit(timetable).fits()).isTrue();
		assertThat(RowLimits.DEFAULT.openOccurrences(timetable)).isBetween(10, 100);
		assertThat(new RowLimits(1).openOccurrences(timetable)).isEqualTo(1);
	}

	@Test
	void aTimetableOfLongRunningTasksFitsOnlyIfAllItsOccurrencesDo() {
		StepSpec step = step(10, false, true);
		assertThat(RowLimits.DEFAULT.fit(job(3, 30, step)).fits()).isTrue();
		assertThat(RowLimits.DEFAULT.openOccurrences(job(3, 30, step))).isEqualTo(30);
		assertThat(RowLimits.DEFAULT.fit(job(3, 80, step)).cause()).isEqualTo(RowFit.Cause.OCCURRENCES);
	}

	@Test
	void aJobThatHasEndedTakesNoRoom() {
		SubmittedJob job = new SubmittedJob(job(1, 1, step(3, false, false)));
		StepKey key = new StepKey(ID, 0, 0);
		job.progress(key).markFailed(0, 1);
		job.updateState(key);
		assertThat(job.state()).isEqualTo(SubmissionState.FAILED);
		assertThat(size(RowLimits.DEFAULT.encode(job.toProgress()))).isLessThan(64);
	}

}
