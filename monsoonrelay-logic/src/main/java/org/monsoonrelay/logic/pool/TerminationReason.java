package org.monsoonrelay.logic.pool;

/**
 * How a run ended.
 */
public enum TerminationReason {

	/** The task has done its work. */
	DONE,

	/** The task failed, by its own fault or the worker's. */
	FAILED,

	/** It was told to stop. */
	STOPPED,

	/** The worker's lease lapsed. */
	LAPSED,

	/** Another member of its gang ended. */
	BROKEN,

	/** The other members of its gang did not come in time. */
	ALONE

}
