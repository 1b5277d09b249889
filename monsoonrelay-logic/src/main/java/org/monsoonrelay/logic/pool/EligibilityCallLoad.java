package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.EligibilityTimes;

/**
 * The host time that calls for eligibility of each kind took lately, as an exponentially
 * weighted mean. Kinds are kept for the owner's term. Invariant: the loads are those at
 * the time of the last call noted. Not thread-safe: confined to the control thread.
 */
final class EligibilityCallLoad {

	/** Time constant of the mean, milliseconds; a few of the dearest calls. */
	private static final double WINDOW_MILLIS = 2000;

	private final Map<EligibilityTimes, Double> loads = new HashMap<>();

	private final long startNanos;

	private long lastCallNanos;

	/**
	 * Begin to observe.
	 * @param nowNanos the current time
	 */
	EligibilityCallLoad(long nowNanos) {
		this.startNanos = nowNanos;
		this.lastCallNanos = nowNanos;
	}

	/**
	 * Note that calls of a kind may come.
	 * @param kind what they cost
	 */
	void addKind(EligibilityTimes kind) {
		this.loads.putIfAbsent(kind, 0.0);
	}

	/**
	 * Note a call.
	 * @param kind its kind
	 * @param costMillis how long it takes a host
	 * @param nowNanos the current time
	 */
	void recordCall(EligibilityTimes kind, double costMillis, long nowNanos) {
		double left = decay(this.lastCallNanos, nowNanos);
		this.loads.replaceAll((other, load) -> load * left);
		this.loads.merge(kind, costMillis / WINDOW_MILLIS, Double::sum);
		this.lastCallNanos = nowNanos;
	}

	/**
	 * Kinds of calls that may come.
	 * @return the kinds
	 */
	Set<EligibilityTimes> kinds() {
		return this.loads.keySet();
	}

	/**
	 * How many hosts calls kept busy on the mean.
	 * @param kinds tells the kinds to count
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
	 * How little is known yet.
	 * @param nowNanos the current time
	 * @return 1 at the beginning, falling to 0
	 */
	double unobservedShare(long nowNanos) {
		return decay(this.startNanos, nowNanos);
	}

	private static double decay(long sinceNanos, long nowNanos) {
		return Math.exp(-(double) TimeUnit.NANOSECONDS.toMicros(nowNanos - sinceNanos)
				/ TimeUnit.MILLISECONDS.toMicros((long) WINDOW_MILLIS));
	}

}
