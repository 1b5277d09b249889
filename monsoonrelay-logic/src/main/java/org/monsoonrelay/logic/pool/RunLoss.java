package org.monsoonrelay.logic.pool;

/**
 * How it is known that a run is over although its worker reported no termination.
 */
enum RunLoss {

	/** A later incarnation of the worker answered. */
	WORKER_REPLACED("another life of the worker answers"),

	/** The worker was unreachable until its lease expired. */
	LEASE_EXPIRED("its lease has lapsed"),

	/** The worker answered and listed the run neither as active nor as terminated. */
	NOT_REPORTED("neither running nor ended on its worker");

	private final String description;

	RunLoss(String description) {
		this.description = description;
	}

	String description() {
		return this.description;
	}

}
