package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Spreads the replicas of a service: chooses the worker with the fewest attempts of the
 * job, and among these the tightest fit. Stateless and thread-safe.
 */
public final class SpreadPolicy implements PlacementPolicy {

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		Worker best = null;
		for (Worker worker : workers) {
			if (worker.canAccept(size) && (best == null || isBetter(worker, best, job, size))) {
				best = worker;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean isBetter(Worker candidate, Worker current, JobId job, Resources size) {
		int byReplicas = Integer.compare(candidate.attemptCount(job), current.attemptCount(job));
		return (byReplicas != 0) ? byReplicas < 0 : PackingPolicy.isTighterFit(candidate, current, size);
	}

}
