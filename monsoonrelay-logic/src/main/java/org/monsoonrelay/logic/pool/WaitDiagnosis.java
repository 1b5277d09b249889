package org.monsoonrelay.logic.pool;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.CrashSuspicion;

/**
 * Determines why no workers are selected for waiting tasks. Does not influence the
 * placement. Stateless except for the pool.
 */
final class WaitDiagnosis {

	private final WorkerSearch search;

	private final GangPlanner gangsWithoutIsolation;

	/**
	 * Creates the diagnosis.
	 * @param search finds the workers that may run a step
	 * @param gangsWithoutIsolation plans gangs as if no task were suspected
	 */
	WaitDiagnosis(WorkerSearch search, GangPlanner gangsWithoutIsolation) {
		this.search = search;
		this.gangsWithoutIsolation = gangsWithoutIsolation;
	}

	/**
	 * Returns why a task that belongs to no gang is not started.
	 * @param context the step
	 * @param fitting eligible workers with free capacity that were searched
	 * @param usable those of them that have a valid ticket and still have free capacity
	 * @return the reason
	 */
	WaitReason reasonNoTaskFits(PlacementContext context, List<PoolWorker> fitting, List<PoolWorker> usable) {
		if (!usable.isEmpty()) {
			return WaitReason.CRASH_ISOLATION;
		}
		return fitting.isEmpty() ? reasonWithoutFittingWorker(context) : WaitReason.TICKETS_EXPIRED;
	}

	private WaitReason reasonWithoutFittingWorker(PlacementContext context) {
		List<PoolWorker> withCapacity = this.search.eligible(context)
			.stream()
			.filter((worker) -> context.matches(worker) && context.hasCapacity(worker, 1))
			.toList();
		if (withCapacity.isEmpty()) {
			return reasonWithoutCapacity(context);
		}
		return withCapacity.stream().anyMatch((worker) -> context.fits(worker, 1)) ? WaitReason.CAPACITY_RESERVED
				: WaitReason.CRASH_ISOLATION;
	}

	/**
	 * Returns why a gang is not started although it has waited for its tickets.
	 * @param context the gang
	 * @param fitting eligible workers with free capacity for a task
	 * @return the reason
	 */
	WaitReason reasonNoGangFits(PlacementContext context, List<PoolWorker> fitting) {
		boolean fitsWithoutIsolation = suspectedTasks(context) > 0
				&& this.gangsWithoutIsolation.plan(context, fitting, new GangDemand()).isPresent();
		return fitsWithoutIsolation ? WaitReason.CRASH_ISOLATION : reasonWithoutCapacity(context);
	}

	private WaitReason reasonWithoutCapacity(PlacementContext context) {
		return this.search.eligible(context).isEmpty() ? WaitReason.NO_ELIGIBLE_WORKER : WaitReason.NO_CAPACITY;
	}

	/**
	 * Describes a waiting step.
	 * @param context the step
	 * @return the description
	 */
	WaitingStep describe(PlacementContext context) {
		List<PoolWorker> matching = this.search.matching(context);
		List<PoolWorker> eligible = matching.stream().filter(context::isEligible).toList();
		List<PoolWorker> accepting = eligible.stream()
			.filter((worker) -> worker.isAcceptingWork(context.nowNanos()))
			.toList();
		Resources size = context.step().spec().committedSize();
		int freeSlots = accepting.stream().mapToInt((worker) -> worker.free().timesCovering(size)).sum();
		List<PoolWorker> withRoom = accepting.stream().filter((worker) -> context.hasCapacity(worker, 1)).toList();
		int withTicket = (int) withRoom.stream().filter(context::hasTicket).count();
		return new WaitingStep(context.step(), context.tasks().size(), suspectedTasks(context), matching.size(),
				eligible.size(), accepting.size(), freeSlots, withRoom.size(), withTicket);
	}

	private static int suspectedTasks(PlacementContext context) {
		return (int) context.tasks()
			.stream()
			.filter((index) -> context.step().suspicion(index) != CrashSuspicion.NONE)
			.count();
	}

}
