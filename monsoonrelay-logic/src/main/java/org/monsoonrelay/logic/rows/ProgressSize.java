package org.monsoonrelay.logic.rows;

import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;

/**
 * Upper bounds for the size of a job's progress as a row holds it, without checkpoints,
 * in bytes. Invariant: whatever happens to a job, its row is not larger than
 * {@link #fixed()} and {@link #occurrence(Submission)} for each occurrence that was ever
 * opened and is not complete. Stateless and thread-safe.
 */
final class ProgressSize {

	private static final int FIXED = 256;

	/** A record of complete occurrences, which ends at an occurrence that is not. */
	private static final int RANGE = 128;

	/** A step without tasks: its name, the names of its fields, its highest attempt. */
	private static final int STEP = 144;

	/** A task that is done, failed before and may have crashed workers. */
	private static final int TASK = 64;

	/** The number of a failed attempt. */
	private static final int ATTEMPT = 11;

	/** The failures of a task whose attempts are not limited. */
	private static final int FAILURE_COUNT = 56;

	/** How often a task is named by its number. */
	private static final int NUMBERS_PER_TASK = 4;

	private ProgressSize() {
	}

	static long fixed() {
		return FIXED + RANGE;
	}

	static long occurrence(Submission job) {
		return RANGE + job.steps().stream().mapToLong((step) -> step(job, step)).sum();
	}

	private static long step(Submission job, StepSpec step) {
		long failures = step.longRunning() ? FAILURE_COUNT : (long) ATTEMPT * (job.policy().maximumAttempts() - 1);
		int digits = Integer.toString(step.count() - 1).length();
		return STEP + step.count() * (TASK + (long) NUMBERS_PER_TASK * digits + failures);
	}

}
