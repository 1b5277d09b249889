package org.monsoonrelay.benchmarks.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Workers of a cell in memory: racks of eight over three failure domains, each fourth
 * rack with accelerators. Not thread-safe.
 */
final class BenchmarkCell {

	private static final int WORKERS_A_RACK = 8;

	private static final List<String> DOMAINS = List.of("east", "north", "south");

	private static final int ACCELERATOR_RACK_EVERY = 4;

	private static final int ACCELERATORS = 4;

	private final Map<String, List<Worker>> racks = new LinkedHashMap<>();

	private final Map<WorkerId, String> domains = new HashMap<>();

	private final List<Worker> workers = new ArrayList<>();

	BenchmarkCell(int size, int processors, long memoryMiB) {
		for (int index = 0; index < size; index++) {
			int rack = index / WORKERS_A_RACK;
			int accelerators = (rack % ACCELERATOR_RACK_EVERY == ACCELERATOR_RACK_EVERY - 1) ? ACCELERATORS : 0;
			Worker worker = new Worker(new WorkerId(String.format("worker-%05d", index)),
					new Resources(processors, memoryMiB, accelerators));
			worker.applyReport("incarnation-1", Map.of());
			this.workers.add(worker);
			this.domains.put(worker.id(), DOMAINS.get(rack % DOMAINS.size()));
			this.racks.computeIfAbsent(String.format("rack-%04d", rack), (name) -> new ArrayList<>()).add(worker);
		}
	}

	List<Worker> workers() {
		return this.workers;
	}

	List<Worker> rack(String name) {
		return this.racks.get(name);
	}

	String domain(Worker worker) {
		return this.domains.get(worker.id());
	}

	List<RackSummary> summaries() {
		List<RackSummary> summaries = new ArrayList<>();
		this.racks.forEach((name, inRack) -> {
			Resources capacity = Resources.NONE;
			Resources free = Resources.NONE;
			int largest = 0;
			for (Worker worker : inRack) {
				capacity = capacity.plus(worker.capacity());
				free = free.plus(worker.freeCapacity());
				largest = Math.max(largest, worker.freeCapacity().processors());
			}
			summaries
				.add(new RackSummary(name, domain(inRack.get(0)), 1, inRack.size(), capacity, free, largest, true));
		});
		return summaries;
	}

}
