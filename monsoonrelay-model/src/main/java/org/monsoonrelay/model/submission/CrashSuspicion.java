package org.monsoonrelay.model.submission;

/**
 * How strongly a task is suspected to crash its workers, in ascending order.
 */
public enum CrashSuspicion {

	/** No worker, or only one that may have crashed for another reason. */
	NONE,

	/** Starts on no worker where a suspected task of another job has just started. */
	SUSPECTED,

	/** Starts on a worker that accepts no tasks of other jobs for a while. */
	ISOLATED,

	/** Is not started again. */
	GIVEN_UP

}
