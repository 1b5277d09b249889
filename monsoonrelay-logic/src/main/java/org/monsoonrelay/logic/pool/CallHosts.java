package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the host that makes a call for eligibility. The service answers one call of a
 * host at a time, so that a call of 10 ms must not stand behind one of 700 ms: the first
 * third of the hosts takes short calls only, half of them nothing long. Answers the load
 * of a cell in which calls take 1.8 s of a second, 0.9 s of it long ones. Not
 * thread-safe: confined to the control thread.
 */
final class CallHosts {

	/** Calls up to this may share a host with short ones, milliseconds. */
	static final double SHORT_MILLIS = 40;

	/** Calls beyond this go to the second half of the hosts only, milliseconds. */
	static final double LONG_MILLIS = 250;

	/**
	 * How long a host is left out after a failed call, milliseconds; twice as long after
	 * further ones. Longer pauses starved long calls while hosts restarted in turn.
	 */
	private static final long AVOID_MILLIS = 1500;

	private static final int MOST_DOUBLINGS = 1;

	private static final double MICROS_PER_MILLI = 1000;

	private static final double SHORT_SHARE = 1.0 / 3;

	private static final double NOT_LONG_SHARE = 0.5;

	// Whole microseconds: sums of fractions leave a rest that would keep a host busy for
	// good.
	private final Map<String, Long> outstandingMicros = new HashMap<>();

	private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

	private final Map<String, Integer> failures = new HashMap<>();

	private List<String> hosts = List.of();

	/**
	 * Name the hosts that can make calls.
	 * @param available the hosts, those for short calls first
	 */
	void update(List<String> available) {
		this.hosts = List.copyOf(available);
		this.outstandingMicros.keySet().retainAll(this.hosts);
	}

	/**
	 * Use a host again that has started anew.
	 * @param host the host
	 */
	void restarted(String host) {
		this.failures.remove(host);
		this.avoidedUntilNanos.remove(host);
	}

	/**
	 * Choose a host for a call now.
	 * @param costMillis how long the service takes
	 * @param nowNanos the current time
	 * @return the host, empty if the call had better wait
	 */
	Optional<String> choose(double costMillis, long nowNanos) {
		List<String> usable = new ArrayList<>();
		for (String host : this.hosts) {
			if (nowNanos - this.avoidedUntilNanos.getOrDefault(host, nowNanos) >= 0) {
				usable.add(host);
			}
		}
		if (usable.isEmpty()) {
			usable = this.hosts;
		}
		for (int i = 0; i < usable.size(); i++) {
			String host = usable.get(i);
			if (takes(i, usable.size(), costMillis) && hasTime(host, costMillis)) {
				return Optional.of(host);
			}
		}
		return Optional.empty();
	}

	private static boolean takes(int position, int count, double costMillis) {
		if (costMillis <= SHORT_MILLIS || position == count - 1) {
			return true;
		}
		return position >= count * ((costMillis > LONG_MILLIS) ? NOT_LONG_SHARE : SHORT_SHARE);
	}

	private boolean hasTime(String host, double costMillis) {
		double waiting = outstanding(host);
		return waiting <= 0 || (costMillis <= SHORT_MILLIS && waiting <= SHORT_MILLIS);
	}

	private static long micros(double millis) {
		return Math.round(millis * MICROS_PER_MILLI);
	}

	void begun(String host, double costMillis) {
		this.outstandingMicros.merge(host, micros(costMillis), Long::sum);
	}

	void ended(String host, double costMillis) {
		this.outstandingMicros.computeIfPresent(host, (name, waiting) -> Math.max(0, waiting - micros(costMillis)));
	}

	void succeeded(String host) {
		this.failures.remove(host);
	}

	void failed(String host, long nowNanos) {
		int doublings = Math.min(MOST_DOUBLINGS, this.failures.merge(host, 1, Integer::sum) - 1);
		this.avoidedUntilNanos.put(host, nowNanos + TimeUnit.MILLISECONDS.toNanos(AVOID_MILLIS << doublings));
	}

	/**
	 * Work that a host still has to do.
	 * @param host the host
	 * @return milliseconds
	 */
	double outstanding(String host) {
		return this.outstandingMicros.getOrDefault(host, 0L) / MICROS_PER_MILLI;
	}

}
