package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Plans the placement of all tasks of a gang at once. Stateless except for the worker
 * selector.
 */
final class GangPlanner {

	private final WorkerSelector selector;

	GangPlanner(WorkerSelector selector) {
		this.selector = selector;
	}

	/**
	 * Plans the whole gang: on one rack if the step is rack-sensitive and one has enough
	 * free capacity, otherwise on workers that are alike if these have enough, otherwise
	 * on any.
	 * @param context the gang
	 * @param usable candidates with free capacity for at least one of its tasks
	 * @param demand how many waiting gangs could use each worker
	 * @return worker by task index, empty if there is not enough free capacity for all
	 * tasks
	 */
	Optional<Map<Integer, PoolWorker>> plan(PlacementContext context, List<PoolWorker> usable, GangDemand demand) {
		if (context.step().spec().rackSensitive()) {
			for (String rack : usable.stream().map((worker) -> worker.info().rack()).distinct().toList()) {
				List<PoolWorker> onRack = usable.stream()
					.filter((worker) -> worker.info().rack().equals(rack))
					.toList();
				Optional<Map<Integer, PoolWorker>> plan = planWithin(context, onRack, demand);
				if (plan.isPresent()) {
					return plan;
				}
			}
		}
		return planAlike(context, usable, demand);
	}

	private Optional<Map<Integer, PoolWorker>> planAlike(PlacementContext context, List<PoolWorker> usable,
			GangDemand demand) {
		if (!hasCapacityForAll(context, usable)) {
			return Optional.empty();
		}
		List<List<PoolWorker>> groups = this.selector.alike(context.step(), usable);
		for (List<PoolWorker> group : (groups.size() > 1) ? groups : List.<List<PoolWorker>>of()) {
			Optional<Map<Integer, PoolWorker>> plan = planWithin(context, group, demand);
			if (plan.isPresent()) {
				return plan;
			}
		}
		return planWithin(context, usable, demand);
	}

	private Optional<Map<Integer, PoolWorker>> planWithin(PlacementContext context, List<PoolWorker> usable,
			GangDemand demand) {
		if (!hasCapacityForAll(context, usable)) {
			return Optional.empty();
		}
		Map<Integer, PoolWorker> plan = new LinkedHashMap<>();
		Map<String, Integer> planned = new HashMap<>();
		for (int index : context.tasks()) {
			List<PoolWorker> fitting = usable.stream()
				.filter((worker) -> context.fits(worker, planned.getOrDefault(worker.id(), 0) + 1))
				.toList();
			Optional<PoolWorker> worker = this.selector.select(context.step(), index, fitting, demand);
			if (worker.isEmpty()) {
				return Optional.empty();
			}
			plan.put(index, worker.get());
			planned.merge(worker.get().id(), 1, Integer::sum);
		}
		return Optional.of(plan);
	}

	// Most waiting gangs do not fit; this check finds out without planning each task.
	private static boolean hasCapacityForAll(PlacementContext context, List<PoolWorker> usable) {
		Resources size = context.step().spec().committedSize();
		long freeSlots = 0;
		for (PoolWorker worker : usable) {
			freeSlots += worker.free().timesCovering(size);
		}
		return freeSlots >= context.tasks().size();
	}

}
