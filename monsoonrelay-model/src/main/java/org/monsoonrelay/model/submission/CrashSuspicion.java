package org.monsoonrelay.model.submission;

/**
 * How strongly a task is suspected to crash its workers, in ascending order.
 */
public enum CrashSuspicion {

	/** No worker, or only one that may have crashed for another reason. */
	NONE,

	/** Runs on no worker together with a suspected task of another job. */
	SUSPECTED,

	/** Runs on a worker that accepts no tasks of other jobs meanwhile. */
	ISOLATED,

	/** Is not started again. */
	GIVEN_UP

}
