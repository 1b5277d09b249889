package org.monsoonrelay.logic.placement;

/**
 * State of an attempt as known to the owner of its rack.
 */
public enum AttemptEventKind {

	/** A worker runs the attempt. */
	RUNNING,

	/** The attempt succeeded. */
	FINISHED,

	/** The attempt failed. */
	FAILED,

	/** The attempt does not run and never will. */
	GONE,

	/** The worker was unresponsive until its lease expired; the attempt may still run. */
	LAPSED;

	/**
	 * Return whether the attempt does not run any more.
	 * @return {@code false} for {@link #RUNNING} and {@link #LAPSED}
	 */
	public boolean isTerminal() {
		return this != RUNNING && this != LAPSED;
	}

	/**
	 * Return whether this is an end of the attempt that its worker has reported. Such a
	 * report is final: a later restart or an unresponsive worker does not change it.
	 * @return {@code true} for {@link #FINISHED} and {@link #FAILED}
	 */
	public boolean isReportedByWorker() {
		return this == FINISHED || this == FAILED;
	}

}
