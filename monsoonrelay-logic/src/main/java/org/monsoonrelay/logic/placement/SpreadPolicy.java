package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Puts replicas of one service on different workers, as far as there are enough.
 */
public final class SpreadPolicy implements PlacementPolicy {

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		return workers.stream()
			.filter((worker) -> worker.accepts(size))
			.min(Comparator.comparingInt((Worker worker) -> worker.attemptsOf(job))
				.thenComparingDouble(PackingPolicy::freeShare)
				.thenComparing(Worker::id));
	}

}
