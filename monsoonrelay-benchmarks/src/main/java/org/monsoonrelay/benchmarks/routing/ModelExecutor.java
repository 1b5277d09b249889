package org.monsoonrelay.benchmarks.routing;

/**
 * A modelled backend server: a fixed number of slots and no queue. Not thread-safe.
 */
final class ModelExecutor {

	private final int slots;

	private int inUse;

	ModelExecutor(int slots) {
		this.slots = slots;
	}

	boolean tryStart() {
		if (this.inUse >= this.slots) {
			return false;
		}
		this.inUse++;
		return true;
	}

	void end() {
		this.inUse--;
	}

}
