package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.EligibilityTimes;

/**
 * Exponentially weighted mean of the number of hosts that each kind of eligibility call
 * keeps busy. Kinds are kept for the owner's term. Invariant: the stored loads are those
 * at the time of the last recorded call. Not thread-safe: confined to the control thread.
 */
final class EligibilityCallLoad {

	/**
	 * Time constant of the mean, in milliseconds: the duration of a few of the most
	 * expensive calls.
	 */
	private static final double WINDOW_MILLIS = 2000;

	private final Map<EligibilityTimes, Double> loads = new HashMap<>();

	private final long startNanos;

	private long lastCallNanos;

	/**
	 * Starts the observation.
	 * @param nowNanos the current time
	 */
	EligibilityCallLoad(long nowNanos) {
		this.startNanos = nowNanos;
		this.lastCallNanos = nowNanos;
	}

	/**
	 * Registers a kind of call.
	 * @param kind the costs of its calls
	 */
	void addKind(EligibilityTimes kind) {
		this.loads.putIfAbsent(kind, 0.0);
	}

	/**
	 * Records a call.
	 * @param kind the kind of call
	 * @param costMillis how long it occupies a host, milliseconds
	 * @param nowNanos the current time
	 */
	void recordCall(EligibilityTimes kind, double costMillis, long nowNanos) {
		double factor = decay(this.lastCallNanos, nowNanos);
		this.loads.replaceAll((other, load) -> load * factor);
		this.loads.merge(kind, costMillis / WINDOW_MILLIS, Double::sum);
		this.lastCallNanos = nowNanos;
	}

	/**
	 * The registered kinds of calls.
	 * @return the kinds
	 */
	Set<EligibilityTimes> kinds() {
		return this.loads.keySet();
	}

	/**
	 * Mean number of hosts that calls kept busy.
	 * @param kinds selects the kinds to count
	 * @param nowNanos the current time
	 * @return the mean number of hosts, in erlangs
	 */
	double busyHosts(Predicate<EligibilityTimes> kinds, long nowNanos) {
		double sum = 0;
		for (Map.Entry<EligibilityTimes, Double> load : this.loads.entrySet()) {
			if (kinds.test(load.getKey())) {
				sum += load.getValue();
			}
		}
		return sum * decay(this.lastCallNanos, nowNanos);
	}

	/**
	 * Share of the averaging window that precedes the start of the observation.
	 * @param nowNanos the current time
	 * @return 1 at the start, falling towards 0
	 */
	double unobservedShare(long nowNanos) {
		return decay(this.startNanos, nowNanos);
	}

	private static double decay(long sinceNanos, long nowNanos) {
		return Math.exp(-(double) TimeUnit.NANOSECONDS.toMicros(nowNanos - sinceNanos)
				/ TimeUnit.MILLISECONDS.toMicros((long) WINDOW_MILLIS));
	}

}
