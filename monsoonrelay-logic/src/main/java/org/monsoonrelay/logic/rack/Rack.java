package org.monsoonrelay.logic.rack;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Workers of a rack for the duration of one ownership epoch. Not thread-safe: confined to
 * the control thread.
 */
final class Rack {

	private final String name;

	private final long epoch;

	private final Map<WorkerId, TrackedWorker> workers = new TreeMap<>();

	Rack(String name, long epoch) {
		this.name = name;
		this.epoch = epoch;
	}

	void addOrUpdateWorker(Host host, long nowNanos) {
		this.workers.computeIfAbsent(new WorkerId(host.name()), (id) -> new TrackedWorker(host, nowNanos))
			.update(host, host.state() == HostState.LEAVING);
	}

	void removeWorker(WorkerId worker) {
		this.workers.remove(worker);
	}

	/**
	 * Return the workers that can currently accept new attempts.
	 * @param health used to exclude workers on probation
	 * @return the usable workers
	 */
	List<Worker> usableWorkers(WorkerHealth health) {
		return this.workers.values()
			.stream()
			.filter(TrackedWorker::isUsable)
			.map(TrackedWorker::worker)
			.filter((worker) -> health.isUsable(worker.id()))
			.toList();
	}

	RackSummary summary(WorkerHealth health) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		int largestFreeProcessors = 0;
		List<Worker> usable = usableWorkers(health);
		for (Worker worker : usable) {
			capacity = capacity.plus(worker.capacity());
			free = free.plus(worker.freeCapacity());
			largestFreeProcessors = Math.max(largestFreeProcessors, worker.freeCapacity().processors());
		}
		String domain = this.workers.values()
			.stream()
			.findFirst()
			.map((tracked) -> tracked.host().failureDomain())
			.orElse("");
		boolean allReportedOrUnresponsive = this.workers.values()
			.stream()
			.allMatch((tracked) -> tracked.worker().hasReported() || tracked.isUnresponsive());
		return new RackSummary(this.name, domain, this.epoch, usable.size(), capacity, free, largestFreeProcessors,
				allReportedOrUnresponsive);
	}

	TrackedWorker worker(WorkerId worker) {
		return this.workers.get(worker);
	}

	Collection<TrackedWorker> workers() {
		return this.workers.values();
	}

	String name() {
		return this.name;
	}

	long epoch() {
		return this.epoch;
	}

}
