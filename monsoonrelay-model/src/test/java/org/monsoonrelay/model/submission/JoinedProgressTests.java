package org.monsoonrelay.model.submission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class JoinedProgressTests {

	private static final int TASKS = 4;

	private static final int RUNS = 24;

	private static final Submission SUBMISSION = new Submission("a", new QueuePolicy("q", "s", 0, 20, 2.0, 50, null),
			"", List.of(step(false), step(true)), Timetable.AT_ONCE, 1000);

	private static StepSpec step(boolean gang) {
		return new StepSpec(TASKS, new Resources(1, 1, 0), 100, List.of(), gang, false, "", "", 0, false, false, false,
				false);
	}

	private static SubmittedJob joined(List<JobProgress> rows) {
		SubmittedJob job = new SubmittedJob(SUBMISSION);
		rows.forEach(job::join);
		return job;
	}

	// Each row knows some of the ends of one history.
	private static List<JobProgress> rows(Random random) {
		List<SubmittedJob> parts = List.of(new SubmittedJob(SUBMISSION), new SubmittedJob(SUBMISSION),
				new SubmittedJob(SUBMISSION));
		for (int attempt = 1; attempt <= RUNS; attempt++) {
			StepKey key = new StepKey("a", 0, random.nextInt(2));
			int index = random.nextInt(TASKS);
			int kind = random.nextInt(4);
			for (SubmittedJob part : parts) {
				if (random.nextBoolean()) {
					record(part, key, index, attempt, kind);
				}
			}
		}
		return parts.stream().map(SubmittedJob::toProgress).toList();
	}

	private static void record(SubmittedJob job, StepKey key, int index, int attempt, int kind) {
		StepProgress progress = job.progress(key);
		progress.recordAttempt(attempt);
		switch (kind) {
			case 0 -> progress.markDone(index);
			case 1 -> progress.markFailed(index, attempt);
			case 2 -> job.recordStart(key.task(index));
			default -> job.recordCrash(key.task(index), CrashEvidence.POSSIBLE);
		}
		job.markStarted();
		job.updateState(key);
	}

	@Group
	class Joins {

		@Property(tries = 300, seed = "7")
		void giveTheSameInAnyOrderAndWhenRepeated(@ForAll Random random) {
			List<JobProgress> rows = rows(random);
			List<JobProgress> others = new ArrayList<>(rows);
			others.addAll(rows);
			Collections.shuffle(others, random);
			assertThat(joined(others).toProgress()).isEqualTo(joined(rows).toProgress());
		}

		@Property(tries = 300, seed = "7")
		void loseNothingThatARowKnows(@ForAll Random random) {
			List<JobProgress> rows = rows(random);
			SubmittedJob all = joined(rows);
			for (JobProgress row : rows) {
				assertThat(all.isEnded() || row.differenceTo(all.toProgress(), all.submission())
					.equals(new JobProgress.Difference(0, 0))).isTrue();
				row.steps()
					.forEach((local, saved) -> assertKeeps(all.progress(StepKey.ofLocalName("a", local)), saved));
				assertThat(row.state().isFinal() && !all.isEnded()).isFalse();
			}
		}

		private void assertKeeps(StepProgress progress, StepRecord saved) {
			assertThat(saved.done()).allMatch(progress::isDone);
			assertThat(progress.highestAttempt()).isGreaterThanOrEqualTo(saved.highestAttempt());
			for (Map.Entry<Integer, TaskCrashes> entry : saved.crashes().entrySet()) {
				TaskCrashes crashes = progress.crashes(entry.getKey());
				assertThat(progress.isDone(entry.getKey()) || crashes.possible() >= entry.getValue().possible())
					.isTrue();
			}
		}

	}

}
