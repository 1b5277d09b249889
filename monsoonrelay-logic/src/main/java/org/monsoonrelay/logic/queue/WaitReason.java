package org.monsoonrelay.logic.queue;

/**
 * Why a job has tasks that do not run yet.
 */
public enum WaitReason {

	/** Nothing waits. */
	NONE,

	/** The queue's owner is rebuilding its view. */
	RECOVERING,

	/** Work it depends on has not finished, or is not up. */
	DEPENDENCY,

	/** The team's quota is in use. */
	QUOTA,

	/** No worker has room. */
	NO_ROOM,

	/**
	 * Refused: no worker of the cell is large enough even when it is empty, or the cell
	 * is too small for all tasks at once.
	 */
	NEVER_FITS,

	/** The platform does not answer, and a task that must run once is recorded first. */
	PLATFORM_UNAVAILABLE,

	/** A worker that may still run a task has gone silent. */
	WORKER_SILENT,

	/** A failed task waits before it is tried again. */
	BACKOFF

}
