package org.monsoonrelay.logic.pool;

/**
 * Why a run terminated.
 */
public enum TerminationReason {

	/** The task completed successfully. */
	DONE,

	/** The task failed, either by its own error or by an error of the worker. */
	FAILED,

	/** The owner requested the stop. */
	STOPPED,

	/** The worker's lease expired. */
	LAPSED,

	/** Another member of its gang terminated. */
	BROKEN,

	/** The other members of its gang did not start in time. */
	ALONE

}
