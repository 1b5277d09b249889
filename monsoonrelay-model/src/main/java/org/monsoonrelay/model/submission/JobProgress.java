package org.monsoonrelay.model.submission;

import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Durable progress of a submitted job. Immutable.
 *
 * @param state the state that callers may be told
 * @param steps records of steps, by occurrence and step
 */
public record JobProgress(SubmissionState state, Map<String, StepRecord> steps) {

	/** A step within its job: the number of the occurrence and that of the step. */
	private static final Pattern LOCAL_KEY = Pattern.compile("(\\d{1,9})\\.(\\d{1,9})");

	public JobProgress {
		Objects.requireNonNull(state, "state");
		steps = Map.copyOf(steps);
	}

	/**
	 * Whether this can be the progress of a job: all steps and tasks are the job's.
	 * @param job the job
	 * @return {@code true} if so
	 */
	public boolean matches(Submission job) {
		return this.steps.entrySet().stream().allMatch((entry) -> matches(job, entry.getKey(), entry.getValue()));
	}

	private static boolean matches(Submission job, String key, StepRecord saved) {
		Matcher local = LOCAL_KEY.matcher(key);
		if (!local.matches() || Integer.parseInt(local.group(1)) >= job.timetable().occurrences()) {
			return false;
		}
		int step = Integer.parseInt(local.group(2));
		return step < job.steps().size()
				&& saved.done().stream().allMatch((index) -> index < job.steps().get(step).count());
	}

}
