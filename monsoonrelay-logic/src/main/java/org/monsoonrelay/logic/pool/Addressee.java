package org.monsoonrelay.logic.pool;

/**
 * The worker to which a request was sent, as it was then. Immutable.
 *
 * @param worker the worker
 * @param incarnation its incarnation
 * @param info its description
 * @param tokenGeneration how often the fencing token had been raised
 * @param clockMillis the last known reading of its clock
 */
record Addressee(PoolWorker worker, WorkerIncarnation incarnation, WorkerInfo info, int tokenGeneration,
		long clockMillis) {

	static Addressee of(PoolWorker worker) {
		return new Addressee(worker, worker.incarnation(), worker.info(), worker.incarnation().tokenGeneration(),
				worker.lease().clockMillis());
	}

	boolean isCurrent(PoolWorker now) {
		return now.incarnation() == this.incarnation;
	}

	boolean hasCurrentToken() {
		return this.worker.incarnation().tokenGeneration() == this.tokenGeneration;
	}

	/**
	 * Returns whether a response stems from a later incarnation: its clock was reset.
	 * @param outcome the response
	 * @return {@code true} if the worker has restarted
	 */
	boolean hasRestarted(RunRequestOutcome outcome) {
		return outcome.clockMillis() >= 0 && outcome.clockMillis() < this.clockMillis;
	}

}
