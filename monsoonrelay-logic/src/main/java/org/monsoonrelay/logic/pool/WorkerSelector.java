package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;

/**
 * Selects a worker for a task among the candidates. Implementations are stateless.
 */
interface WorkerSelector {

	/**
	 * Selects a worker.
	 * @param step the step
	 * @param index index of the task
	 * @param candidates eligible workers with enough free capacity for the task
	 * @param demand how many waiting gangs could use each worker
	 * @return the worker, empty if there are no candidates
	 */
	Optional<PoolWorker> select(ActiveStep step, int index, List<PoolWorker> candidates, GangDemand demand);

	/**
	 * Groups workers of which a gang should use those of one group only, as it is as fast
	 * as its slowest worker.
	 * @param step the gang
	 * @param candidates the workers
	 * @return the groups, the preferred one first
	 */
	default List<List<PoolWorker>> alike(ActiveStep step, List<PoolWorker> candidates) {
		return List.of(candidates);
	}

}
