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

	private final Map<String, Integer> runsByRequest = new ConcurrentHashMap<>();

	private final Map<String, Integer> runsByServer = new ConcurrentHashMap<>();

	private final AtomicLong refusals = new AtomicLong();

	void ran(String server, String operation, String name) {
		this.runsByServer.merge(server, 1, Integer::sum);
		this.runsByRequest.merge(RequestCounts.key(operation, name), 1, Integer::sum);
	}

	void refused() {
		this.refusals.incrementAndGet();
	}

	RequestCounts counters() {
		int total = this.runsByServer.values().stream().mapToInt(Integer::intValue).sum();
		return new RequestCounts(total, this.refusals.get(), new TreeMap<>(this.runsByServer),
				new TreeMap<>(this.runsByRequest));
	}

}
