package org.monsoonrelay.model.worker;

/**
 * Name of a worker, stable over its restarts. Immutable.
 *
 * @param value the name in the platform's host list
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
