package org.monsoonrelay.model.submission;

/**
 * Failures of a task whose attempts are not limited. Invariant: an attempt that is
 * reported again is not counted again; one that is first reported after a later one is
 * not counted at all, so that the count is a lower bound. Immutable.
 *
 * @param count number of counted failures
 * @param highestAttempt highest number of an attempt that failed
 */
public record FailureCount(int count, int highestAttempt) {

	/** Of a task that has not failed. */
	static final FailureCount NONE = new FailureCount(0, 0);

	public FailureCount {
		if (count < 0) {
			throw new IllegalArgumentException("not a number of failures: " + count);
		}
	}

	FailureCount plus(int attempt) {
		return includes(attempt) ? this : new FailureCount(this.count + 1, attempt);
	}

	FailureCount join(FailureCount other) {
		return new FailureCount(Math.max(this.count, other.count), Math.max(this.highestAttempt, other.highestAttempt));
	}

	boolean includes(int attempt) {
		return attempt <= this.highestAttempt;
	}

}
