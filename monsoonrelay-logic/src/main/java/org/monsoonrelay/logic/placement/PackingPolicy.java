package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Best fit: the worker that has the least left of its scarcest resource, so that whole
 * workers stay free. Work that asks for no accelerator takes the processors and memory
 * beside free ones only if no other worker has room. Stateless and thread-safe.
 */
public final class PackingPolicy implements PlacementPolicy {

	@Override
	public Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers) {
		Worker best = null;
		for (Worker worker : workers) {
			if (worker.accepts(size) && (best == null || isTighterFit(worker, best, size))) {
				best = worker;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Tell whether a worker is the tighter fit of two.
	 * @param candidate the worker
	 * @param current the other worker
	 * @param size what the task asks for
	 * @return {@code true} if the first is to be preferred
	 */
	static boolean isTighterFit(Worker candidate, Worker current, Resources size) {
		boolean candidateStrands = candidate.free().wouldStrandAccelerators(size, candidate.capacity());
		boolean currentStrands = current.free().wouldStrandAccelerators(size, current.capacity());
		if (candidateStrands != currentStrands) {
			return currentStrands;
		}
		int byShare = Double.compare(candidate.free().smallestShareOf(candidate.capacity()),
				current.free().smallestShareOf(current.capacity()));
		return (byShare != 0) ? byShare < 0 : candidate.id().compareTo(current.id()) < 0;
	}

}
