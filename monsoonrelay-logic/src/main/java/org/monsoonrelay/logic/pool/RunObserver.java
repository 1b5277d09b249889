package org.monsoonrelay.logic.pool;

/**
 * Learns from the runs of the pool. An observer only listens: it changes no run.
 * Implementations are confined to the control thread.
 */
public interface RunObserver {

	/** Observes nothing. */
	RunObserver NONE = new RunObserver() {
	};

	/**
	 * A worker confirmed the start of a run, or reported a run that an earlier owner
	 * started.
	 * @param run the run
	 * @param nowNanos the current monotonic time
	 */
	default void runStarted(ObservedRun run, long nowNanos) {
	}

	/**
	 * A worker reported that a run is active.
	 * @param run the run
	 * @param report what the worker reported
	 * @param nowNanos the current monotonic time
	 */
	default void runReported(ObservedRun run, RunningTask report, long nowNanos) {
	}

	/**
	 * A run has terminated, or is no longer known to be active.
	 * @param run the run
	 * @param reason why it terminated, {@link TerminationReason#LAPSED} if it was lost
	 * @param ranMillis time since its start was requested, milliseconds, -1 if not known
	 * @param nowNanos the current monotonic time
	 */
	default void runEnded(ObservedRun run, TerminationReason reason, long ranMillis, long nowNanos) {
	}

	/**
	 * A worker has been restarted or removed.
	 * @param worker id of the worker
	 */
	default void workerReset(String worker) {
	}

	/**
	 * Returns how soon the next report of a worker is needed.
	 * @param worker id of the worker
	 * @return milliseconds, {@link Long#MAX_VALUE} if it is not needed sooner than others
	 */
	default long reportWithinMillis(String worker) {
		return Long.MAX_VALUE;
	}

}
