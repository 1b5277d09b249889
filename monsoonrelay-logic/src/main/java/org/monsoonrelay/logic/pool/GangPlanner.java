package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Finds room for all tasks of a gang at once. Stateless but for the rule that it is
 * given.
 */
final class GangPlanner {

	private final WorkerSelector selector;

	GangPlanner(WorkerSelector choice) {
		this.selector = choice;
	}

	/**
	 * Plan the whole gang, on one rack if that matters and fits, else anywhere.
	 * @param turn the gang
	 * @param usable workers that it may use and that have room for one of its tasks
	 * @param demand what gangs wait for
	 * @return the worker of each task, empty if there is no room for all
	 */
	Optional<Map<Integer, PoolWorker>> plan(PlacementContext turn, List<PoolWorker> usable, GangDemand demand) {
		if (turn.step().spec().rackSensitive()) {
			for (String rack : usable.stream().map((worker) -> worker.info().rack()).distinct().toList()) {
				List<PoolWorker> there = usable.stream().filter((worker) -> worker.info().rack().equals(rack)).toList();
				Optional<Map<Integer, PoolWorker>> plan = planOn(turn, there, demand);
				if (plan.isPresent()) {
					return plan;
				}
			}
		}
		return planOn(turn, usable, demand);
	}

	private Optional<Map<Integer, PoolWorker>> planOn(PlacementContext turn, List<PoolWorker> usable,
			GangDemand demand) {
		if (!hasRoomForAll(turn, usable)) {
			return Optional.empty();
		}
		Map<Integer, PoolWorker> plan = new LinkedHashMap<>();
		Map<String, Integer> planned = new HashMap<>();
		for (int index : turn.tasks()) {
			List<PoolWorker> fitting = usable.stream()
				.filter((worker) -> turn.fits(worker, planned.getOrDefault(worker.id(), 0) + 1))
				.toList();
			Optional<PoolWorker> worker = this.selector.select(turn.step(), index, fitting, demand);
			if (worker.isEmpty()) {
				return Optional.empty();
			}
			plan.put(index, worker.get());
			planned.merge(worker.get().id(), 1, Integer::sum);
		}
		return Optional.of(plan);
	}

	// Most gangs that wait find no room, which is told without planning task by task.
	private static boolean hasRoomForAll(PlacementContext turn, List<PoolWorker> usable) {
		Resources size = turn.step().spec().committedSize();
		long room = 0;
		for (PoolWorker worker : usable) {
			room += worker.free().timesCovering(size);
		}
		return room >= turn.tasks().size();
	}

}
