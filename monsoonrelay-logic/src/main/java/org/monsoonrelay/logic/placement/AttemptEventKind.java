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
	LAPSED;

	/**
	 * Tell whether a worker has said how the attempt ended. Nothing learnt later, such as
	 * the worker's restart or silence, says otherwise.
	 * @return {@code true} for the two ends that a worker reports
	 */
	public boolean isReportedByWorker() {
		return this == FINISHED || this == FAILED;
	}

}
