package org.monsoonrelay.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts at the backend servers what ran. Thread-safe; shared by the backend servers of
 * one process.
 */
final class RequestLog {

	private final Map<String, Integer> runsByName = new ConcurrentHashMap<>();

	private final Map<String, Integer> runsByOperation = new ConcurrentHashMap<>();

	private final AtomicLong refusals = new AtomicLong();

	void ran(String operation, String name) {
		this.runsByOperation.merge(operation, 1, Integer::sum);
		if (name != null) {
			this.runsByName.merge(operation + ' ' + name, 1, Integer::sum);
		}
	}

	void refused() {
		this.refusals.incrementAndGet();
	}

	int runs(String operation, String name) {
		return this.runsByName.getOrDefault(operation + ' ' + name, 0);
	}

	RequestCounts counters() {
		int total = this.runsByOperation.values().stream().mapToInt(Integer::intValue).sum();
		Map<String, Integer> repeated = new TreeMap<>();
		this.runsByName.forEach((name, count) -> {
			if (count > 1) {
				repeated.put(name, count);
			}
		});
		return new RequestCounts(total, this.refusals.get(), new TreeMap<>(this.runsByOperation), repeated);
	}

}
