package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Best fit that avoids workers which waiting gangs could use: prefers the workers that
 * the fewest gangs could use, and among these the one with the least capacity left. This
 * keeps free capacity for gangs together when the load is near the capacity of the pool.
 * The worker on which the task failed or did not start most recently comes last; workers
 * on the rack of the task's data come before others, and among these the preferred ones,
 * by the first preference in which they differ. Not thread-safe: confined to the control
 * thread, as the preferences are.
 */
final class GangAwareBestFit implements WorkerSelector {

	private final List<WorkerPreference> preferences;

	GangAwareBestFit(List<WorkerPreference> preferences) {
		this.preferences = List.copyOf(preferences);
	}

	GangAwareBestFit() {
		this(List.of());
	}

	@Override
	public Optional<PoolWorker> select(ActiveStep step, int index, List<PoolWorker> candidates, GangDemand demand) {
		String failedOn = step.lastFailedWorker(index);
		String rack = step.spec().dataRack();
		Resources size = step.spec().committedSize();
		Comparator<PoolWorker> order = Comparator.comparing((worker) -> worker.id().equals(failedOn));
		order = order.thenComparing((worker) -> !rack.isEmpty() && !rack.equals(worker.info().rack()));
		beginSelection(step);
		for (WorkerPreference preference : this.preferences) {
			order = order.thenComparingInt((worker) -> preference.penalty(step.key(), step.spec(), worker.id()));
		}
		return candidates.stream()
			.min(order.thenComparingInt((worker) -> demand.gangCount(worker.id()))
				.thenComparingDouble((worker) -> remainingShare(worker, size))
				.thenComparing(PoolWorker::id));
	}

	@Override
	public List<List<PoolWorker>> alike(ActiveStep step, List<PoolWorker> candidates) {
		beginSelection(step);
		Map<List<Integer>, List<PoolWorker>> byPenalty = new TreeMap<>(Comparator.comparing(List::toString));
		for (PoolWorker worker : candidates) {
			List<Integer> penalties = this.preferences.stream()
				.map((preference) -> preference.penalty(step.key(), step.spec(), worker.id()))
				.toList();
			byPenalty.computeIfAbsent(penalties, (key) -> new ArrayList<>()).add(worker);
		}
		return List.copyOf(byPenalty.values());
	}

	private void beginSelection(ActiveStep step) {
		if (!this.preferences.isEmpty()) {
			WaitingTask task = WaitingTask.of(step);
			this.preferences.forEach((preference) -> preference.beginSelection(task));
		}
	}

	private static double remainingShare(PoolWorker worker, Resources size) {
		return worker.free().minus(size).dominantShareOf(worker.info().capacity());
	}

}
