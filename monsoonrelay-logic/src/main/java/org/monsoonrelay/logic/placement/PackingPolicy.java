package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Best-fit policy: chooses the worker that has the least left of its scarcest resource,
 * so that other workers stay entirely free. A task without accelerators is placed on a
 * worker where it would strand free accelerators only if no other worker has enough free
 * capacity. Stateless and thread-safe.
 */
public final class PackingPolicy implements PlacementPolicy {

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		Worker best = null;
		for (Worker worker : workers) {
			if (worker.canAccept(size) && (best == null || isTighterFit(worker, best, size))) {
				best = worker;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Return whether a worker is a tighter fit than another one.
	 * @param candidate the worker to compare
	 * @param current the best worker so far
	 * @param size the size of the task
	 * @return {@code true} if the candidate is preferred
	 */
	static boolean isTighterFit(Worker candidate, Worker current, Resources size) {
		boolean candidateStrands = candidate.freeCapacity().wouldStrandAccelerators(size, candidate.capacity());
		boolean currentStrands = current.freeCapacity().wouldStrandAccelerators(size, current.capacity());
		if (candidateStrands != currentStrands) {
			return currentStrands;
		}
		int byShare = Double.compare(candidate.freeCapacity().smallestShareOf(candidate.capacity()),
				current.freeCapacity().smallestShareOf(current.capacity()));
		return (byShare != 0) ? byShare < 0 : candidate.id().compareTo(current.id()) < 0;
	}

}
