package org.monsoonrelay.model.job;

/**
 * State of one task of a job.
 */
public enum TaskState {

	/** Has no open attempt and waits to be placed. */
	WAITING,

	/** An attempt is open and holds, or asks for, a reservation; nothing was started. */
	RESERVED,

	/** The attempt is recorded and may have been started. */
	STARTING,

	/** A worker said that it runs. */
	RUNNING,

	/**
	 * The worker has gone silent and the task may run on; only a task that must run once
	 * is ever here.
	 */
	IN_DOUBT,

	/** Ended well. */
	FINISHED,

	/** Ended badly too often. */
	FAILED,

	/** Cancelled or stopped by an operator. */
	CANCELLED;

	/**
	 * Tell whether nothing more happens to the task.
	 * @return {@code true} for the final states
	 */
	public boolean isFinal() {
		return this == FINISHED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Tell whether a worker may be running the task.
	 * @return {@code true} if an attempt may have been started and has not ended
	 */
	public boolean mayBeRunning() {
		return this == STARTING || this == RUNNING || this == IN_DOUBT;
	}

}
