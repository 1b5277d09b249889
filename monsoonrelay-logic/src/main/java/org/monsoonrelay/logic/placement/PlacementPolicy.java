package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Policy that chooses a worker for one task. Implementations are stateless.
 */
public interface PlacementPolicy {

	/**
	 * Choose a worker of a rack.
	 * @param job the job the task belongs to
	 * @param size the size of the task
	 * @param workers the workers of the rack
	 * @return a worker that accepts the size, or empty if none does
	 */
	Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers);

}
