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
 * Chooses the host that makes a call for eligibility. The service answers one call of a
 * host at a time, so that a cheap call must not stand behind a dear one. A call leaves as
 * many hosts to the kinds that cost half of it or less as square-root staffing gives for
 * the host time that these took lately, and takes any other host that is idle. Answers
 * loads in which dear calls come faster than a fixed share of the hosts can make them
 * while the hosts kept for cheap calls are idle. Invariant: half of the hosts, rounded
 * up, are open to every call. Not thread-safe: confined to the control thread.
 */
final class EligibilityHostSelector {

	/**
	 * A call up to this may wait behind others of up to this together, milliseconds: a
	 * peer that is asked instead is hardly sooner.
	 */
	static final double SHORT_CALL_MILLIS = 40;

	/** Hosts kept beyond the mean load, in square roots of it: lets few calls wait. */
	private static final double STAFFING_FACTOR = 2;

	/** A kind of calls is cheaper than another if this many fit into its time. */
	private static final double CHEAPER_FACTOR = 2;

	/** Most hosts kept for cheaper calls, as a share of all. */
	private static final double MAX_RESERVED_SHARE = 0.5;

	/**
	 * How long a host is left out after a failed call, milliseconds; twice as long after
	 * further ones. Longer pauses starved long calls while hosts restarted in turn.
	 */
	private static final long FAILURE_BACKOFF_MILLIS = 1500;

	private static final int MAX_BACKOFF_DOUBLINGS = 1;

	private static final double MICROS_PER_MILLI = 1000;

	// Whole microseconds: sums of fractions leave a rest that would keep a host busy for
	// good.
	private final Map<String, Long> outstandingMicros = new HashMap<>();

	// The dearest kind of call that a host makes now.
	private final Map<String, EligibilityTimes> costliestKinds = new HashMap<>();

	private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

	private final Map<String, Integer> consecutiveFailures = new HashMap<>();

	private final EligibilityCallLoad load;

	private List<String> hosts = List.of();

	/**
	 * Begin without hosts.
	 * @param nowNanos the current time
	 */
	EligibilityHostSelector(long nowNanos) {
		this.load = new EligibilityCallLoad(nowNanos);
	}

	/**
	 * Note that calls of a kind may come, for which hosts are kept.
	 * @param kind what they cost
	 */
	void addKind(EligibilityTimes kind) {
		this.load.addKind(kind);
	}

	/**
	 * Name the hosts that can make calls.
	 * @param available the hosts, those for short calls first
	 */
	void updateHosts(List<String> available) {
		this.hosts = List.copyOf(available);
		this.outstandingMicros.keySet().retainAll(this.hosts);
		this.costliestKinds.keySet().retainAll(this.hosts);
	}

	/**
	 * Use a host again that has started anew.
	 * @param host the host
	 */
	void hostRestarted(String host) {
		this.consecutiveFailures.remove(host);
		this.avoidedUntilNanos.remove(host);
	}

	/**
	 * Choose a host for a call now. Dear calls take hosts from the end of the list, so
	 * that the first ones, which are nearest, serve cheap ones.
	 * @param kind its kind
	 * @param costMillis how long the service takes
	 * @param nowNanos the current time
	 * @return the host, empty if the call had better wait
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
			if (usable.size() - hostsReservedForCheaper(kind, usable.size(), nowNanos) <= hostsWithNoCheaperCall(kind,
					usable)) {
				return Optional.empty();
			}
			Collections.reverse(usable);
		}
		return usable.stream().filter((host) -> isAvailable(host, costMillis)).findFirst();
	}

	/**
	 * Where a kind of calls stands among those that wait: kinds that leave half of the
	 * hosts to the others come first, the cheapest before the rest, as they hardly take
	 * from the others.
	 * @param kind the kind
	 * @param nowNanos the current time
	 * @return the place, 0 first, the same for all kinds whose calls come in the order of
	 * the queue
	 */
	int precedence(EligibilityTimes kind, long nowNanos) {
		double busy = this.load.busyHosts((other) -> !isCheaper(kind, other), nowNanos);
		if (requiredHosts(busy) > MAX_RESERVED_SHARE * this.hosts.size()) {
			return Integer.MAX_VALUE;
		}
		return (int) this.load.kinds().stream().filter((other) -> isCheaper(other, kind)).count();
	}

	private int hostsReservedForCheaper(EligibilityTimes kind, int count, long nowNanos) {
		int most = (int) (MAX_RESERVED_SHARE * count);
		double least = Math.max(1, this.load.unobservedShare(nowNanos) * most);
		double wanted = requiredHosts(this.load.busyHosts((other) -> isCheaper(other, kind), nowNanos));
		return (int) Math.min(most, Math.ceil(Math.max(least, wanted)));
	}

	private static double requiredHosts(double load) {
		return load + STAFFING_FACTOR * Math.sqrt(load);
	}

	private long hostsWithNoCheaperCall(EligibilityTimes kind, List<String> usable) {
		return usable.stream()
			.map(this.costliestKinds::get)
			.filter((made) -> made != null && !isCheaper(made, kind))
			.count();
	}

	private static boolean isCheaper(EligibilityTimes kind, EligibilityTimes than) {
		return CHEAPER_FACTOR * kind.costMillis(1) <= than.costMillis(1);
	}

	private boolean isAvailable(String host, double costMillis) {
		double waiting = outstandingMillis(host);
		return waiting <= 0 || (costMillis <= SHORT_CALL_MILLIS && waiting <= SHORT_CALL_MILLIS);
	}

	private static long toMicros(double millis) {
		return Math.round(millis * MICROS_PER_MILLI);
	}

	void callStarted(String host, EligibilityTimes kind, double costMillis, long nowNanos) {
		this.load.recordCall(kind, costMillis, nowNanos);
		this.outstandingMicros.merge(host, toMicros(costMillis), Long::sum);
		this.costliestKinds.merge(host, kind, (former, next) -> isCheaper(former, next) ? next : former);
	}

	void callEnded(String host, double costMillis) {
		this.outstandingMicros.computeIfPresent(host, (name, waiting) -> Math.max(0, waiting - toMicros(costMillis)));
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
	 * Work that a host still has to do.
	 * @param host the host
	 * @return milliseconds
	 */
	double outstandingMillis(String host) {
		return this.outstandingMicros.getOrDefault(host, 0L) / MICROS_PER_MILLI;
	}

}
