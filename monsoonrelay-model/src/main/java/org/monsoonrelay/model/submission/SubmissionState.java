package org.monsoonrelay.model.submission;

/**
 * What callers are told of a submitted job.
 */
public enum SubmissionState {

	/** Accepted, no task has started. */
	QUEUED,

	/** A task has started. */
	RUNNING,

	/** All tasks are done. */
	COMPLETED,

	/** A task has failed as often as the queue allows. */
	FAILED,

	/** The caller has cancelled it. */
	CANCELLED;

	/**
	 * Whether the state is the last one.
	 * @return {@code true} if nothing of the job will start any more
	 */
	public boolean isFinal() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

}
