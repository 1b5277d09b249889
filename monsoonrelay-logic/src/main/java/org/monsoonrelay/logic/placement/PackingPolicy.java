package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Best fit: the worker that has the least left, so that whole workers stay free.
 */
public final class PackingPolicy implements PlacementPolicy {

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		return workers.stream()
			.filter((worker) -> worker.accepts(size))
			.min(Comparator.comparingDouble(PackingPolicy::freeShare).thenComparing(Worker::id));
	}

	/**
	 * Free share of a worker's scarcest resource.
	 * @param worker the worker
	 * @return between 0, full, and 1, empty
	 */
	static double freeShare(Worker worker) {
		Resources free = worker.free();
		Resources capacity = worker.capacity();
		return Math.min(share(free.processors(), capacity.processors()), share(free.memoryMiB(), capacity.memoryMiB()));
	}

	private static double share(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 0;
	}

}
