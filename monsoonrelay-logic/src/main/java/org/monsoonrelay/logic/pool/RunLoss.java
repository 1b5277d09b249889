package org.monsoonrelay.logic.pool;

/**
 * How it is known that a run is over although its worker reported no termination.
 */
enum RunLoss {

	/**
	 * A later incarnation of the worker is listed or reported without the run, or another
	 * worker answered at its address.
	 */
	WORKER_REPLACED("its worker has restarted or was replaced"),

	/** The worker was unreachable until its lease expired. */
	LEASE_EXPIRED("its lease has lapsed"),

	/**
	 * The worker answered twice and listed the run neither as active nor as terminated.
	 */
	NOT_REPORTED("neither running nor ended on its worker");

	private final String description;

	RunLoss(String description) {
		this.description = description;
	}

	String description() {
		return this.description;
	}

}
