package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a worker for a task among those that may take it. Implementations are
 * stateless.
 */
interface WorkerSelector {

	/**
	 * Choose a worker.
	 * @param step the step
	 * @param index the task
	 * @param candidates workers with room that may run the task
	 * @param demand how much waiting gangs want each worker
	 * @return the worker, empty if there are no candidates
	 */
	Optional<PoolWorker> select(ActiveStep step, int index, List<PoolWorker> candidates, GangDemand demand);

}
