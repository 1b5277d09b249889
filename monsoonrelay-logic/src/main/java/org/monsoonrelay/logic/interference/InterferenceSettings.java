package org.monsoonrelay.logic.interference;

/**
 * How interference between tasks is handled. Immutable.
 *
 * @param harmMillis time for which a task may miss its latency target because of its
 * neighbours, milliseconds, positive
 * @param pacingIntervalMillis time within which a worker carries out a change of speed,
 * milliseconds
 * @param learnsWithoutImage whether the size of a task stands in for its image if it has
 * none
 */
public record InterferenceSettings(long harmMillis, long pacingIntervalMillis, boolean learnsWithoutImage) {

	/** Settings of a deployment that names none. */
	public static final InterferenceSettings DEFAULT = new InterferenceSettings(4000, 100, false);

	public InterferenceSettings {
		if (harmMillis < 1 || pacingIntervalMillis < 0) {
			throw new IllegalArgumentException(
					"not a bound for harm and an interval: " + harmMillis + ", " + pacingIntervalMillis);
		}
	}

}
