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
			if (worker.accepts(size) && (best == null || isTighter(worker, best, size))) {
				best = worker;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Tell whether a worker is the tighter fit of two.
	 * @param one the worker
	 * @param other the other worker
	 * @param size what the task asks for
	 * @return {@code true} if the first is to be preferred
	 */
	static boolean isTighter(Worker one, Worker other, Resources size) {
		boolean oneStrands = one.free().wouldStrandAccelerators(size, one.capacity());
		boolean otherStrands = other.free().wouldStrandAccelerators(size, other.capacity());
		if (oneStrands != otherStrands) {
			return otherStrands;
		}
		int byShare = Double.compare(one.free().smallestShareOf(one.capacity()),
				other.free().smallestShareOf(other.capacity()));
		return (byShare != 0) ? byShare < 0 : one.id().compareTo(other.id()) < 0;
	}

}
