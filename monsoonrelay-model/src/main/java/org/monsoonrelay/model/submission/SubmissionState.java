package org.monsoonrelay.model.submission;

/**
 * State of a submitted job as reported to callers.
 */
public enum SubmissionState {

	/** Accepted, no task has started. */
	QUEUED,

	/** A task has started. */
	RUNNING,

	/** All tasks are complete. */
	COMPLETED,

	/** A task has failed as often as the queue allows. */
	FAILED,

	/** The caller has cancelled the job. */
	CANCELLED;

	/**
	 * Whether the state is final.
	 * @return {@code true} if no task of the job is started any more
	 */
	public boolean isFinal() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

}
