package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Workers that other steps must not use in this placement pass, because a gang ahead of
 * them did not find enough free capacity and may use these workers. Otherwise small tasks
 * and narrower gangs would fill capacity as soon as it becomes free, before there is
 * enough for a wide gang. All workers of such a gang are set aside, so that steps with
 * slack avoid them; a gang that is about to be late has just enough of them reserved
 * against all other steps. Designed for loads near the capacity of the pool. Invariants:
 * no worker is reserved for two gangs, and at most a fixed share of the pool is reserved.
 * Rebuilt for each placement pass. Not thread-safe.
 */
final class GangReservations {

	/** Slack above which a step avoids workers that are set aside, in milliseconds. */
	static final long SLACK_THRESHOLD_MILLIS = 2000;

	/**
	 * Largest share of the pool's workers that may be reserved; reserved workers drain
	 * and are partly idle meanwhile.
	 */
	static final double MAX_RESERVED_SHARE = 1.0 / 3;

	private final long slackThresholdMillis;

	private final int maxReserved;

	private final Set<String> setAsideWorkers = new HashSet<>();

	private final Set<String> reservedWorkers = new HashSet<>();

	/**
	 * Creates the reservations of a placement pass.
	 * @param slackThresholdMillis slack above which a step avoids workers that are set
	 * aside
	 * @param maxReserved largest number of workers to reserve
	 */
	GangReservations(long slackThresholdMillis, int maxReserved) {
		this.slackThresholdMillis = slackThresholdMillis;
		this.maxReserved = maxReserved;
	}

	void setAside(PoolWorker worker) {
		this.setAsideWorkers.add(worker.id());
	}

	/**
	 * Reserves the smallest number of workers that can hold all tasks of a gang once they
	 * are empty. Workers with the most free capacity come first, so that the same ones
	 * are selected in each pass. Reserves nothing while the gang would still start in
	 * time without it.
	 * @param context the gang
	 * @param eligible the workers that may run it
	 * @param slackMillis slack of the gang, less the time of an eligibility request
	 * @param emptyInMillis returns the expected time until the runs on a worker have
	 * ended
	 * @return the reserved workers, empty if it is too early, if the workers do not
	 * suffice or if too many would be reserved
	 */
	List<PoolWorker> reserve(PlacementContext context, Collection<PoolWorker> eligible, long slackMillis,
			ToLongFunction<PoolWorker> emptyInMillis) {
		if (this.reservedWorkers.size() >= this.maxReserved) {
			return List.of();
		}
		Resources size = context.step().spec().committedSize();
		int limit = context.step().spec().maximumPerWorker();
		int maxPerWorker = (limit > 0) ? limit : Integer.MAX_VALUE;
		List<Candidate> usable = new ArrayList<>();
		for (PoolWorker worker : eligible) {
			if (worker.isAcceptingWork(context.nowNanos()) && context.matches(worker) && isAvailableToGangs(worker)) {
				usable.add(Candidate.of(worker, size));
			}
		}
		usable.sort(Candidate.MOST_FREE_FIRST);
		List<PoolWorker> selected = new ArrayList<>();
		int unplaced = context.tasks().size();
		for (Candidate candidate : usable) {
			if (unplaced <= 0) {
				break;
			}
			selected.add(candidate.worker());
			unplaced -= Math.min(maxPerWorker, candidate.worker().info().capacity().timesCovering(size));
		}
		boolean isEarly = selected.stream().mapToLong(emptyInMillis).max().orElse(0) < slackMillis;
		if (isEarly || unplaced > 0 || this.reservedWorkers.size() + selected.size() > this.maxReserved) {
			return List.of();
		}
		selected.forEach((worker) -> this.reservedWorkers.add(worker.id()));
		return selected;
	}

	/**
	 * Whether a worker is available to gangs.
	 * @param worker the worker
	 * @return {@code false} if it is already reserved for a gang
	 */
	boolean isAvailableToGangs(PoolWorker worker) {
		return !this.reservedWorkers.contains(worker.id());
	}

	/**
	 * Returns the workers that a step may use.
	 * @param entry the step, not a gang
	 * @param nowMillis the current time, epoch milliseconds
	 * @return matches those workers
	 */
	Predicate<PoolWorker> availableTo(QueueEntry entry, long nowMillis) {
		boolean hasSlack = entry.latestStartMillis() - nowMillis > this.slackThresholdMillis;
		return (worker) -> isAvailableToGangs(worker) && !(hasSlack && this.setAsideWorkers.contains(worker.id()));
	}

	private record Candidate(PoolWorker worker, int freeSlots, double freeShare) {

		private static final Comparator<Candidate> MOST_FREE_FIRST = Comparator.comparingInt(Candidate::freeSlots)
			.thenComparingDouble(Candidate::freeShare)
			.reversed()
			.thenComparing((candidate) -> candidate.worker().id());

		static Candidate of(PoolWorker worker, Resources size) {
			return new Candidate(worker, worker.free().timesCovering(size),
					worker.free().dominantShareOf(worker.info().capacity()));
		}

	}

}
