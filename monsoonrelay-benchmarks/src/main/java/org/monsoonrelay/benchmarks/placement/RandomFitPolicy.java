package org.monsoonrelay.benchmarks.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.placement.PlacementPolicy;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Baseline: any worker that has room. Not thread-safe.
 */
final class RandomFitPolicy implements PlacementPolicy {

	private final UniformRandomProvider random;

	RandomFitPolicy(UniformRandomProvider random) {
		this.random = random;
	}

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		List<Worker> fitting = workers.stream().filter((worker) -> worker.canAccept(size)).toList();
		return fitting.isEmpty() ? Optional.empty() : Optional.of(fitting.get(this.random.nextInt(fitting.size())));
	}

}
