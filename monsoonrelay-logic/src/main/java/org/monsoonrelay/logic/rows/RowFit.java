package org.monsoonrelay.logic.rows;

/**
 * Whether a job fits into its rows. Immutable.
 *
 * @param cause what is too large
 * @param bytes size of the row, or the upper bound for it
 * @param limit largest row that the table accepts, bytes
 */
public record RowFit(Cause cause, long bytes, int limit) {

	/**
	 * Returns whether the job fits.
	 * @return {@code true} if it may be accepted
	 */
	public boolean fits() {
		return this.cause == Cause.NONE;
	}

	/** What of a job is too large. */
	public enum Cause {

		/** Nothing, the job fits. */
		NONE,

		/** The job as it was handed in. */
		SUBMISSION,

		/** The progress of one occurrence, which grows with the tasks of the steps. */
		TASKS,

		/** The progress of all occurrences, none of which is ever complete. */
		OCCURRENCES

	}

}
