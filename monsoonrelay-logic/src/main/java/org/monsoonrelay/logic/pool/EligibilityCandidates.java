package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Selects the workers that an eligibility request queries. The first request for a step
 * queries workers that probably have capacity for it, spread so that different steps
 * query different workers: querying the same hundred for every step would fill only
 * these. Each additional worker delays the reply. Stateless.
 */
final class EligibilityCandidates {

	/**
	 * Usual number of workers in a request; the share of them that is eligible is not
	 * known in advance. Pools of up to this size are queried completely.
	 */
	static final int DEFAULT_REQUEST_SIZE = 40;

	/** Largest number of workers in a request that the eligibility service accepts. */
	static final int MAX_REQUEST_SIZE = 100;

	/**
	 * Slots (capacity for one task) to query per task: about a third of the workers may
	 * be eligible, and other steps use them as well.
	 */
	private static final double SLOTS_PER_TASK = 4;

	/**
	 * Weight of an occupied slot relative to a free one, because its run will end.
	 */
	private static final double OCCUPIED_SLOT_WEIGHT = 0.25;

	/**
	 * Slots per task on eligible workers, free or occupied, that are sufficient. In a
	 * pool that is four fifths full a gang finds free capacity on about a third of its
	 * slots.
	 */
	private static final int MIN_SLOTS_PER_TASK = 3;

	/**
	 * Expected share of eligible workers among those that have not been queried; on most
	 * queues the share is higher.
	 */
	private static final double EXPECTED_ELIGIBLE_SHARE = 1.0 / 3;

	private EligibilityCandidates() {
	}

	/**
	 * Selects the workers for the first request.
	 * @param context the step
	 * @param possible the workers that could run it
	 * @return the selected workers, those with the most slots first
	 */
	static List<PoolWorker> selectInitial(PlacementContext context, List<PoolWorker> possible) {
		if (possible.size() <= DEFAULT_REQUEST_SIZE) {
			return possible;
		}
		ActiveStep step = context.step();
		String key = step.key().toString();
		List<Candidate> ranked = new ArrayList<>();
		for (PoolWorker worker : possible) {
			ranked.add(new Candidate(worker, weightedSlots(step, worker), (key + worker.id()).hashCode()));
		}
		ranked.sort(Candidate.MOST_SLOTS_FIRST);
		List<PoolWorker> selected = new ArrayList<>();
		double required = SLOTS_PER_TASK * step.spec().count();
		for (Candidate candidate : ranked) {
			if (selected.size() >= MAX_REQUEST_SIZE || (selected.size() >= DEFAULT_REQUEST_SIZE && required <= 0)) {
				break;
			}
			required -= candidate.slots();
			selected.add(candidate.worker());
		}
		return selected;
	}

	/**
	 * Selects workers to renew tickets for, for a step that is not a gang: those that
	 * have free capacity now, then other eligible workers whose tickets have expired, so
	 * that capacity that becomes free on them can be used at once. Querying only the few
	 * with free capacity would take one request for each worker.
	 * @param context the step
	 * @param eligible the workers known to be eligible
	 * @param withCapacity those of them that have free capacity now
	 * @return the selected workers
	 */
	static List<PoolWorker> selectForRenewal(PlacementContext context, Collection<PoolWorker> eligible,
			List<PoolWorker> withCapacity) {
		ActiveStep step = context.step();
		Comparator<PoolWorker> mostSlotsFirst = Comparator.comparingDouble((worker) -> -weightedSlots(step, worker));
		Set<PoolWorker> selected = new LinkedHashSet<>();
		withCapacity.stream().sorted(mostSlotsFirst).limit(DEFAULT_REQUEST_SIZE).forEach(selected::add);
		eligible.stream()
			.filter((worker) -> worker.isUsable() && !context.hasTicket(worker))
			.sorted(mostSlotsFirst)
			.limit(DEFAULT_REQUEST_SIZE)
			.forEach(selected::add);
		return selected.stream().limit(DEFAULT_REQUEST_SIZE).toList();
	}

	/**
	 * Selects workers that have not been queried yet: if the eligible ones are too few,
	 * or if others have free capacity for the waiting tasks while the eligible ones have
	 * too little. Otherwise the step would wait while other workers are idle. A step that
	 * can wait does so for the eligible workers: capacity found elsewhere is usually
	 * taken before the reply arrives, and the next request would search for it again.
	 * @param context the step
	 * @param eligible the workers known to be eligible
	 * @param unqueried the workers that have not been queried
	 * @param canWait whether the step can wait and still meet its deadline
	 * @return the selected workers, empty if no request is needed
	 */
	static List<PoolWorker> selectAdditional(PlacementContext context, Collection<PoolWorker> eligible,
			List<PoolWorker> unqueried, boolean canWait) {
		int required = context.step().spec().gang() ? context.tasks().size() : 1;
		int size = totalSlots(context, eligible);
		boolean hasTooFewSlots = size < MIN_SLOTS_PER_TASK * context.step().spec().count();
		int free = freeSlots(context, unqueried);
		// A long-running task would otherwise wait beside the last free slots for hours.
		boolean isExpectedToFit = (context.step().spec().longRunning() && required == 1)
				|| freeSlots(context, eligible) + EXPECTED_ELIGIBLE_SHARE * free >= required;
		boolean hasCapacityElsewhere = !canWait && free > 0 && isExpectedToFit;
		if (!hasTooFewSlots && !hasCapacityElsewhere) {
			return List.of();
		}
		return selectInitial(context, unqueried).stream().limit(DEFAULT_REQUEST_SIZE).toList();
	}

	/**
	 * Whether workers have enough total capacity for all tasks of a step, free or not.
	 * @param context the step
	 * @param workers the workers
	 * @return {@code true} if so
	 */
	static boolean canHoldAllTasks(PlacementContext context, Collection<PoolWorker> workers) {
		return totalSlots(context, workers) >= context.step().spec().count();
	}

	private static int totalSlots(PlacementContext context, Collection<PoolWorker> workers) {
		return countSlots(context, workers, (worker) -> worker.info().capacity());
	}

	/**
	 * Counts the tasks of a step for which workers have free capacity.
	 * @param context the step
	 * @param workers the workers
	 * @return the number of tasks
	 */
	static int freeSlots(PlacementContext context, Collection<PoolWorker> workers) {
		return countSlots(context, workers,
				(worker) -> worker.isAcceptingWork(context.nowNanos()) ? worker.free() : Resources.NONE);
	}

	private static int countSlots(PlacementContext context, Collection<PoolWorker> workers,
			Function<PoolWorker, Resources> capacity) {
		Resources size = context.step().spec().committedSize();
		int limit = context.step().spec().maximumPerWorker();
		int maximum = (limit > 0) ? limit : Integer.MAX_VALUE;
		long slots = workers.stream()
			.filter(context::matches)
			.mapToLong((worker) -> Math.min(maximum, capacity.apply(worker).timesCovering(size)))
			.sum();
		return (int) Math.min(Integer.MAX_VALUE, slots);
	}

	private static double weightedSlots(ActiveStep step, PoolWorker worker) {
		Resources size = step.spec().committedSize();
		int limit = step.spec().maximumPerWorker();
		int maximum = (limit > 0) ? limit : step.spec().count();
		double free = Math.min(maximum, worker.free().timesCovering(size));
		double total = Math.min(maximum, worker.info().capacity().timesCovering(size));
		return free + OCCUPIED_SLOT_WEIGHT * (total - free);
	}

	/**
	 * A worker with its sort keys, computed once because sorting compares each worker
	 * several times.
	 */
	private record Candidate(PoolWorker worker, double slots, int spread) {

		private static final Comparator<Candidate> MOST_SLOTS_FIRST = Comparator.comparingDouble(Candidate::slots)
			.reversed()
			.thenComparingInt(Candidate::spread);

	}

}
