package org.monsoonrelay.benchmarks.placement;

import java.util.Collection;
import java.util.Optional;

import org.monsoonrelay.logic.placement.PlacementPolicy;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Baseline: the first worker that has room. Stateless and thread-safe.
 */
final class FirstFitPolicy implements PlacementPolicy {

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		return workers.stream().filter((worker) -> worker.canAccept(size)).findFirst();
	}

}
