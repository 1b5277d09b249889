package org.monsoonrelay.model.worker;

/**
 * Name of a worker, which stays the same across restarts. Immutable.
 *
 * @param value name in the platform's host list
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

	@Override
	public int compareTo(WorkerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
