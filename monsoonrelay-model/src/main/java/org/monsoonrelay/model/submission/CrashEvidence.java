package org.monsoonrelay.model.submission;

/**
 * How certain it is that a task was active on a worker when that worker crashed.
 */
public enum CrashEvidence {

	/** The run was over before, or the worker has not crashed. */
	NONE,

	/**
	 * The worker may have crashed for another reason or may only be cut off, or the run
	 * may never have started.
	 */
	POSSIBLE,

	/** The run had started, and the worker crashed by itself. */
	CONFIRMED

}
