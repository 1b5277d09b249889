package org.monsoonrelay.logic.rack;

/**
 * Phase of an attempt as reported by its worker.
 */
public enum AttemptPhase {

	/** The attempt is running. */
	RUNNING,

	/** The attempt completed successfully. */
	FINISHED,

	/** The attempt completed with a failure. */
	FAILED,

	/** The attempt was stopped or was refused before it started; it never starts. */
	STOPPED

}
