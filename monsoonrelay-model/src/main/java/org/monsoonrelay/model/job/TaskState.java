package org.monsoonrelay.model.job;

/**
 * State of one task of a job.
 */
public enum TaskState {

	/** The task has no open attempt and waits to be placed. */
	WAITING,

	/** An open attempt holds or requests a reservation; nothing was started. */
	RESERVED,

	/** The attempt is recorded and may have been started. */
	STARTING,

	/** A worker has reported that the attempt runs. */
	RUNNING,

	/**
	 * The worker is unresponsive and may still run the task. Only run-once tasks enter
	 * this state.
	 */
	IN_DOUBT,

	/** Completed successfully. */
	FINISHED,

	/** Failed permanently after too many failed attempts. */
	FAILED,

	/** Cancelled or stopped by an operator. */
	CANCELLED;

	/**
	 * Whether the state is final.
	 * @return {@code true} if the task is not started again
	 */
	public boolean isFinal() {
		return this == FINISHED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Whether a worker may be running the task.
	 * @return {@code true} if an attempt may have been started and is not known to have
	 * ended
	 */
	public boolean mayBeRunning() {
		return this == STARTING || this == RUNNING || this == IN_DOUBT;
	}

}
