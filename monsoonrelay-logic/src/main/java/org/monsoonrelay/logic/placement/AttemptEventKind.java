package org.monsoonrelay.logic.placement;

/**
 * What a rack's owner knows of an attempt.
 */
public enum AttemptEventKind {

	/** A worker runs it. */
	RUNNING,

	/** It ended well. */
	FINISHED,

	/** It ended badly. */
	FAILED,

	/** It does not run and never will. */
	GONE,

	/** Its worker has been silent for the lease; it may run on. */
	LAPSED

}
