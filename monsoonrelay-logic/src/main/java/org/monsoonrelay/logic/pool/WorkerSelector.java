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

}
