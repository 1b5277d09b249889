package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Finds the workers that may run a step. Stateless except for the pool.
 */
final class WorkerSearch {

	private final WorkerPool pool;

	WorkerSearch(WorkerPool pool) {
		this.pool = pool;
	}

	/**
	 * Returns the workers known to be eligible. Only these: a third of a large pool is
	 * searched in a third of the time.
	 * @param context the step
	 * @return the workers, all of the pool if the step needs no eligibility
	 */
	Collection<PoolWorker> eligible(PlacementContext context) {
		if (!context.policy().needsEligibility()) {
			return this.pool.workers();
		}
		List<PoolWorker> eligible = new ArrayList<>();
		for (String id : context.eligibility().eligibleWorkers()) {
			this.pool.worker(id).filter(PoolWorker::isUsable).ifPresent(eligible::add);
		}
		return eligible;
	}

	/**
	 * Returns the eligible workers on which a task of the step can be placed now.
	 * @param context the step
	 * @param usable matches the workers to consider
	 * @return the workers, with and without valid tickets
	 */
	List<PoolWorker> fitting(PlacementContext context, Predicate<PoolWorker> usable) {
		List<PoolWorker> fitting = new ArrayList<>();
		for (PoolWorker worker : eligible(context)) {
			if (usable.test(worker) && context.matches(worker) && context.fits(worker, 1)) {
				fitting.add(worker);
			}
		}
		return fitting;
	}

	/**
	 * Returns the workers that could run a task of the step if they were empty and
	 * eligible.
	 * @param context the step
	 * @return the workers
	 */
	List<PoolWorker> matching(PlacementContext context) {
		Resources size = context.step().spec().committedSize();
		return this.pool.workers()
			.stream()
			.filter((worker) -> worker.isListed() && !worker.isLost() && !worker.info().draining())
			.filter((worker) -> context.matches(worker) && worker.info().capacity().covers(size))
			.toList();
	}

	/**
	 * Returns whether a worker has free capacity for a task of the step if it is
	 * eligible.
	 * @param context the step
	 * @return {@code true} if there is one
	 */
	boolean hasRoom(PlacementContext context) {
		for (PoolWorker worker : this.pool.workers()) {
			if (context.matches(worker) && context.fits(worker, 1) && context.isEligibleOrUnqueried(worker)) {
				return true;
			}
		}
		return false;
	}

}
