package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The workers of the pool, by the id of their life. A worker stays known after the list
 * has dropped it until nothing can run there any more. Not thread-safe: confined to the
 * control thread.
 */
final class WorkerPool {

	private final Map<String, PoolWorker> workers = new LinkedHashMap<>();

	private final Set<String> named = new HashSet<>();

	private final Set<String> inherited = new HashSet<>();

	/**
	 * Take over the workers that an earlier owner's row named.
	 * @param ids the workers' ids
	 */
	void inherit(Collection<String> ids) {
		this.inherited.addAll(ids);
		this.named.addAll(ids);
	}

	/**
	 * Take in the list of workers.
	 * @param listed all workers that the list names
	 * @return workers that were not known
	 */
	List<PoolWorker> update(Collection<WorkerInfo> listed) {
		Set<String> present = new HashSet<>();
		List<PoolWorker> added = new ArrayList<>();
		for (WorkerInfo info : listed) {
			present.add(info.id());
			PoolWorker known = this.workers.get(info.id());
			if (known != null) {
				known.update(info);
				continue;
			}
			PoolWorker worker = new PoolWorker(info);
			this.workers.put(info.id(), worker);
			if (this.named.contains(info.id())) {
				worker.markNamed();
			}
			added.add(worker);
		}
		this.workers.values().stream().filter((worker) -> !present.contains(worker.id())).forEach(PoolWorker::unlist);
		return added;
	}

	/**
	 * Note that what an earlier owner may have started on a worker is known.
	 * @param id the worker's id
	 */
	void accounted(String id) {
		this.inherited.remove(id);
	}

	/**
	 * Whether it is known what runs on every worker that an earlier owner used.
	 * @return {@code true} if so
	 */
	boolean isAccounted() {
		return this.inherited.isEmpty();
	}

	/**
	 * Give up waiting for workers that an earlier owner used: its leases have lapsed.
	 */
	void forgetInherited() {
		this.inherited.clear();
	}

	/**
	 * Workers that the owner's row has to name from its next write on: those on which
	 * something may run or may be started. The others take nothing until a row names them
	 * again. A worker that left without runs would otherwise hold up the next owner for
	 * the length of a lease.
	 * @return their ids
	 */
	List<String> toName() {
		Set<String> ids = new HashSet<>(this.inherited);
		for (PoolWorker worker : this.workers.values()) {
			if (worker.isReached() || (!worker.isLost() && worker.runCount() > 0)) {
				ids.add(worker.id());
			}
			else {
				worker.unname();
				this.named.remove(worker.id());
			}
		}
		return ids.stream().sorted().toList();
	}

	boolean hasUnnamed() {
		return this.workers.values()
			.stream()
			.anyMatch((worker) -> worker.isReached() && !this.named.contains(worker.id()));
	}

	/**
	 * Note which workers the durable row names.
	 * @param ids their ids
	 */
	void named(Collection<String> ids) {
		this.named.clear();
		this.named.addAll(ids);
		ids.stream().map(this.workers::get).filter((worker) -> worker != null).forEach(PoolWorker::markNamed);
	}

	Map<String, Long> processedEnds() {
		Map<String, Long> ends = new HashMap<>();
		this.workers.values().forEach((worker) -> ends.put(worker.id(), worker.processedEnds()));
		return ends;
	}

	void durable(Map<String, Long> ends) {
		ends.forEach((id, number) -> worker(id).ifPresent((worker) -> worker.durable(number)));
	}

	Optional<PoolWorker> worker(String id) {
		return Optional.ofNullable(this.workers.get(id));
	}

	void remove(String id) {
		this.workers.remove(id);
	}

	Collection<PoolWorker> all() {
		return this.workers.values();
	}

}
