package org.monsoonrelay.logic.queue;

/**
 * Reason why tasks of a job wait.
 */
public enum WaitReason {

	/** No task waits. */
	NONE,

	/** The queue owner is recovering the state of the queue. */
	RECOVERING,

	/** A workload that it depends on has not finished, or is not up. */
	DEPENDENCY,

	/** The quota of the team is used up. */
	QUOTA,

	/** No worker has enough free capacity. */
	NO_ROOM,

	/**
	 * No worker of the cell is large enough even when it is empty, or the cell is too
	 * small for all tasks at the same time.
	 */
	NEVER_FITS,

	/**
	 * The table is unavailable, and a run-once task must be recorded before its start.
	 */
	PLATFORM_UNAVAILABLE,

	/** A worker that may still run a task is unresponsive. */
	WORKER_SILENT,

	/** A failed task waits for its retry. */
	BACKOFF

}
