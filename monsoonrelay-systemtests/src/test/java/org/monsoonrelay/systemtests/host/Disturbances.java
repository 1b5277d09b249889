package org.monsoonrelay.systemtests.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * When hosts and the table were disturbed last. What goes on disturbs until it ends; a
 * connection that was forgotten disturbed its hosts at that moment only. Thread-safe.
 */
final class Disturbances {

	private final Map<String, Long> lastNanos = new HashMap<>();

	private final Map<String, Integer> goingOn = new HashMap<>();

	/**
	 * Note a disturbance that has no duration.
	 * @param who names of hosts, or {@link PathCuts#TABLE}
	 */
	synchronized void happened(Set<String> who) {
		who.forEach((name) -> this.lastNanos.put(name, System.nanoTime()));
	}

	synchronized void begin(Set<String> who) {
		who.forEach((name) -> this.goingOn.merge(name, 1, Integer::sum));
	}

	synchronized void end(Set<String> who) {
		who.forEach((name) -> this.goingOn.merge(name, -1, Integer::sum));
		happened(who);
	}

	/**
	 * Whether nothing has disturbed some since a moment.
	 * @param who names of hosts, or {@link PathCuts#TABLE}
	 * @param nanos the moment
	 * @return {@code true} if so
	 */
	synchronized boolean areCalmSince(Set<String> who, long nanos) {
		return who.stream()
			.allMatch((name) -> this.goingOn.getOrDefault(name, 0) == 0
					&& (!this.lastNanos.containsKey(name) || this.lastNanos.get(name) - nanos < 0));
	}

}
