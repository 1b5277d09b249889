package org.monsoonrelay.logic.placement;

import java.util.Collection;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Chooses a worker for one task. Implementations are stateless.
 */
public interface PlacementPolicy {

	/**
	 * Choose among the workers of a rack.
	 * @param job the job the task belongs to
	 * @param size what the task asks for
	 * @param workers the workers
	 * @return a worker that accepts the size, or empty if none does
	 */
	Optional<Worker> choose(JobId job, Resources size, Collection<Worker> workers);

}
