package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Durable progress of a submitted job. Immutable.
 *
 * @param state the state that may be reported to callers
 * @param steps records of the steps, by the local name of the step
 */
public record JobProgress(SubmissionState state, Map<String, StepRecord> steps) {

	/** Local name of a step: the number of the occurrence and the number of the step. */
	private static final Pattern LOCAL_KEY = Pattern.compile("(\\d{1,9})\\.(\\d{1,9})");

	public JobProgress {
		Objects.requireNonNull(state, "state");
		steps = Map.copyOf(steps);
	}

	/**
	 * Whether this progress is consistent with a job: it refers only to steps and tasks
	 * of the job.
	 * @param job the job
	 * @return {@code true} if it is consistent
	 */
	public boolean matches(Submission job) {
		return this.steps.entrySet().stream().allMatch((entry) -> matches(job, entry.getKey(), entry.getValue()));
	}

	/**
	 * What this progress tells beyond another one of the same job.
	 * @param known the other progress
	 * @return the difference; of a job that has ended no tasks are known
	 */
	public Difference differenceTo(JobProgress known) {
		int done = 0;
		int failures = 0;
		for (Map.Entry<String, StepRecord> entry : this.steps.entrySet()) {
			StepRecord saved = entry.getValue();
			StepRecord other = known.steps().getOrDefault(entry.getKey(), StepRecord.NONE);
			done += (int) saved.done().stream().filter((index) -> !other.done().contains(index)).count();
			for (Map.Entry<Integer, List<Integer>> failed : saved.failedAttempts().entrySet()) {
				List<Integer> counted = other.failedAttempts().getOrDefault(failed.getKey(), List.of());
				failures += (int) failed.getValue().stream().filter((attempt) -> !counted.contains(attempt)).count();
			}
		}
		return new Difference(done, failures);
	}

	private static boolean matches(Submission job, String key, StepRecord saved) {
		Matcher local = LOCAL_KEY.matcher(key);
		if (!local.matches() || Integer.parseInt(local.group(1)) >= job.timetable().occurrences()) {
			return false;
		}
		int step = Integer.parseInt(local.group(2));
		return step < job.steps().size() && saved.namesOnlyTasksBelow(job.steps().get(step).count());
	}

	/**
	 * What one progress tells beyond another one. Immutable.
	 *
	 * @param doneTasks number of tasks that only the first one has as completed
	 * @param failures number of failed attempts that only the first one counts
	 */
	public record Difference(int doneTasks, int failures) {

	}

}
