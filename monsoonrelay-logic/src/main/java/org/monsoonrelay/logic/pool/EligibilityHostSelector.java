package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.submission.EligibilityTimes;

/**
 * Selects the host that makes a call to the eligibility service. The service answers one
 * call per host at a time, so a cheap call must not queue behind an expensive one. A call
 * leaves hosts free for the kinds of calls that cost at most half as much: as many as
 * square-root staffing yields for the host time that those kinds used recently. It may
 * use any other idle host. With a fixed split of the hosts, those reserved for cheap
 * calls would be idle while expensive calls arrive faster than the remaining hosts can
 * make them. Invariant: at least half of the hosts, rounded up, are available to every
 * kind of call. Not thread-safe: confined to the control thread.
 */
final class EligibilityHostSelector {

	/**
	 * Longest call that may queue on a busy host, and the most outstanding work that it
	 * may queue behind, in milliseconds: another host would hardly be faster.
	 */
	static final double SHORT_CALL_MILLIS = 40;

	/**
	 * Hosts reserved beyond the mean load, in square roots of that load, so that few
	 * calls have to wait.
	 */
	private static final double STAFFING_FACTOR = 2;

	/**
	 * A kind of call is cheaper than another if this many of its calls fit into the time
	 * of one of the other.
	 */
	private static final double CHEAPER_FACTOR = 2;

	/** Largest share of the hosts that is reserved for cheaper calls. */
	private static final double MAX_RESERVED_SHARE = 0.5;

	/**
	 * How long a host is avoided after a failed call, in milliseconds; doubled after
	 * consecutive failures. Longer backoffs starved long calls while hosts restarted one
	 * after another.
	 */
	private static final long FAILURE_BACKOFF_MILLIS = 1500;

	private static final int MAX_BACKOFF_DOUBLINGS = 1;

	private static final double MICROS_PER_MILLI = 1000;

	// Whole microseconds: rounding errors in sums of fractions would leave a remainder
	// that marks the host as busy forever.
	private final Map<String, Long> outstandingMicros = new HashMap<>();

	// The most expensive kind of call that each host is making.
	private final Map<String, EligibilityTimes> costliestKinds = new HashMap<>();

	private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

	private final Map<String, Integer> consecutiveFailures = new HashMap<>();

	private final EligibilityCallLoad load;

	private List<String> hosts = List.of();

	/**
	 * Creates a selector without hosts.
	 * @param nowNanos the current time
	 */
	EligibilityHostSelector(long nowNanos) {
		this.load = new EligibilityCallLoad(nowNanos);
	}

	/**
	 * Registers a kind of call, so that hosts are reserved for it.
	 * @param kind the costs of its calls
	 */
	void addKind(EligibilityTimes kind) {
		this.load.addKind(kind);
	}

	/**
	 * Replaces the hosts that can make calls.
	 * @param available the hosts, those preferred for short calls first
	 */
	void updateHosts(List<String> available) {
		this.hosts = List.copyOf(available);
		this.outstandingMicros.keySet().retainAll(this.hosts);
		this.costliestKinds.keySet().retainAll(this.hosts);
	}

	/**
	 * Makes a restarted host available again at once.
	 * @param host the host
	 */
	void hostRestarted(String host) {
		this.consecutiveFailures.remove(host);
		this.avoidedUntilNanos.remove(host);
	}

	/**
	 * Selects a host for a call that is made now. Expensive calls use hosts from the end
	 * of the list, so that the first hosts, which are nearest, serve cheap calls.
	 * @param kind the kind of call
	 * @param costMillis expected duration of the call, milliseconds
	 * @param nowNanos the current time
	 * @return the host, empty if the call should wait
	 */
	Optional<String> select(EligibilityTimes kind, double costMillis, long nowNanos) {
		List<String> usable = new ArrayList<>();
		for (String host : this.hosts) {
			if (nowNanos - this.avoidedUntilNanos.getOrDefault(host, nowNanos) >= 0) {
				usable.add(host);
			}
		}
		if (usable.isEmpty()) {
			usable = new ArrayList<>(this.hosts);
		}
		boolean isCheapest = this.load.kinds().stream().noneMatch((other) -> isCheaper(other, kind));
		if (!isCheapest) {
			if (usable.size() - hostsReservedForCheaper(kind, usable.size(), nowNanos) <= busyHostsAtOrAbove(kind,
					usable)) {
				return Optional.empty();
			}
			Collections.reverse(usable);
		}
		return usable.stream().filter((host) -> isAvailable(host, costMillis)).findFirst();
	}

	/**
	 * Position of a kind of call among those that wait for a host. Kinds that leave half
	 * of the hosts to the others come first, in order of cost, because they hardly delay
	 * the others.
	 * @param kind the kind of call
	 * @param nowNanos the current time
	 * @return the position, 0 is first; all kinds whose calls are sent in queue order
	 * have the same one
	 */
	int precedence(EligibilityTimes kind, long nowNanos) {
		double busy = this.load.busyHosts((other) -> !isCheaper(kind, other), nowNanos);
		if (requiredHosts(busy) > MAX_RESERVED_SHARE * this.hosts.size()) {
			return Integer.MAX_VALUE;
		}
		return (int) this.load.kinds().stream().filter((other) -> isCheaper(other, kind)).count();
	}

	private int hostsReservedForCheaper(EligibilityTimes kind, int count, long nowNanos) {
		int max = (int) (MAX_RESERVED_SHARE * count);
		double min = Math.max(1, this.load.unobservedShare(nowNanos) * max);
		double required = requiredHosts(this.load.busyHosts((other) -> isCheaper(other, kind), nowNanos));
		return (int) Math.min(max, Math.ceil(Math.max(min, required)));
	}

	private static double requiredHosts(double load) {
		return load + STAFFING_FACTOR * Math.sqrt(load);
	}

	private long busyHostsAtOrAbove(EligibilityTimes kind, List<String> usable) {
		return usable.stream()
			.map(this.costliestKinds::get)
			.filter((current) -> current != null && !isCheaper(current, kind))
			.count();
	}

	private static boolean isCheaper(EligibilityTimes kind, EligibilityTimes than) {
		return CHEAPER_FACTOR * kind.costMillis(1) <= than.costMillis(1);
	}

	private boolean isAvailable(String host, double costMillis) {
		double outstanding = outstandingMillis(host);
		return outstanding <= 0 || (costMillis <= SHORT_CALL_MILLIS && outstanding <= SHORT_CALL_MILLIS);
	}

	private static long toMicros(double millis) {
		return Math.round(millis * MICROS_PER_MILLI);
	}

	void callStarted(String host, EligibilityTimes kind, double costMillis, long nowNanos) {
		this.load.recordCall(kind, costMillis, nowNanos);
		this.outstandingMicros.merge(host, toMicros(costMillis), Long::sum);
		this.costliestKinds.merge(host, kind, (previous, next) -> isCheaper(previous, next) ? next : previous);
	}

	void callEnded(String host, double costMillis) {
		this.outstandingMicros.computeIfPresent(host,
				(name, outstanding) -> Math.max(0, outstanding - toMicros(costMillis)));
		if (outstandingMillis(host) <= 0) {
			this.costliestKinds.remove(host);
		}
	}

	void callSucceeded(String host) {
		this.consecutiveFailures.remove(host);
	}

	void callFailed(String host, long nowNanos) {
		int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.consecutiveFailures.merge(host, 1, Integer::sum) - 1);
		this.avoidedUntilNanos.put(host, nowNanos + TimeUnit.MILLISECONDS.toNanos(FAILURE_BACKOFF_MILLIS << doublings));
	}

	/**
	 * Expected time until a host has finished its outstanding calls.
	 * @param host the host
	 * @return the time, milliseconds
	 */
	double outstandingMillis(String host) {
		return this.outstandingMicros.getOrDefault(host, 0L) / MICROS_PER_MILLI;
	}

}
