package org.monsoonrelay.logic.rack;

/**
 * Phase of an attempt in a worker's own report.
 */
public enum AttemptPhase {

	/** Runs. */
	RUNNING,

	/** Ended well. */
	FINISHED,

	/** Ended badly. */
	FAILED,

	/** Was stopped, or refused before it started, and is never started again. */
	STOPPED

}
