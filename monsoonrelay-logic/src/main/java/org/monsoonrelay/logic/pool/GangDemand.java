package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Number of waiting gangs that could use each worker. Rebuilt for each placement pass.
 * Not thread-safe.
 */
final class GangDemand {

	private final Map<String, Integer> gangsByWorker = new HashMap<>();

	void add(String worker) {
		this.gangsByWorker.merge(worker, 1, Integer::sum);
	}

	int gangCount(String worker) {
		return this.gangsByWorker.getOrDefault(worker, 0);
	}

}
