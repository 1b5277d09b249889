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
 * One rack under one ownership: its workers. Not thread-safe: confined to the control
 * thread.
 */
final class Rack {

	private final String name;

	private final long epoch;

	private final Map<WorkerId, WorkerSlot> slots = new TreeMap<>();

	Rack(String name, long epoch) {
		this.name = name;
		this.epoch = epoch;
	}

	void put(Host host, long nowNanos) {
		this.slots.computeIfAbsent(new WorkerId(host.name()), (id) -> new WorkerSlot(host, nowNanos))
			.update(host, host.state() == HostState.LEAVING);
	}

	void remove(WorkerId worker) {
		this.slots.remove(worker);
	}

	/**
	 * The workers that may be given work.
	 * @param health tells which are on probation
	 * @return the workers
	 */
	List<Worker> usableWorkers(WorkerHealth health) {
		return this.slots.values()
			.stream()
			.filter(WorkerSlot::isUsable)
			.map(WorkerSlot::worker)
			.filter((worker) -> health.isUsable(worker.id()))
			.toList();
	}

	RackSummary summary(WorkerHealth health) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		int largest = 0;
		List<Worker> usable = usableWorkers(health);
		for (Worker worker : usable) {
			capacity = capacity.plus(worker.capacity());
			free = free.plus(worker.free());
			largest = Math.max(largest, worker.free().processors());
		}
		String domain = this.slots.values().stream().findFirst().map((slot) -> slot.host().failureDomain()).orElse("");
		boolean settled = this.slots.values()
			.stream()
			.allMatch((slot) -> slot.worker().isReported() || slot.isSilent());
		return new RackSummary(this.name, domain, this.epoch, usable.size(), capacity, free, largest, settled);
	}

	WorkerSlot slot(WorkerId worker) {
		return this.slots.get(worker);
	}

	Collection<WorkerSlot> slots() {
		return this.slots.values();
	}

	String name() {
		return this.name;
	}

	long epoch() {
		return this.epoch;
	}

}
