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
 * Workers that other steps leave alone in this turn, because a gang that came before them
 * found no room and may use them. Small tasks, and narrower gangs, would otherwise fill
 * whatever becomes free before a wide gang's room has come together. All workers of a
 * gang are left alone by steps with time to spare; a gang that is about to be late has
 * just enough of them reserved against all others. Answers loads near the capacity of the
 * pool. Invariant: no worker is reserved for two gangs, and no more than a share of the
 * pool is. Built anew for each turn. Not thread-safe.
 */
final class GangReservations {

	/** Time to spare that makes a step wait, milliseconds. */
	static final long SLACK_THRESHOLD_MILLIS = 2000;

	/** Most workers reserved, as a share of the pool: they run empty meanwhile. */
	static final double MAX_RESERVED_SHARE = 1.0 / 3;

	private final long slackThresholdMillis;

	private final int maxReserved;

	private final Set<String> setAsideWorkers = new HashSet<>();

	private final Set<String> reservedWorkers = new HashSet<>();

	/**
	 * Begin a turn.
	 * @param spareMillis time to spare that makes a step wait
	 * @param mostReserved most workers to reserve
	 */
	GangReservations(long spareMillis, int mostReserved) {
		this.slackThresholdMillis = spareMillis;
		this.maxReserved = mostReserved;
	}

	void setAside(PoolWorker worker) {
		this.setAsideWorkers.add(worker.id());
	}

	/**
	 * Reserve as few workers as hold all tasks of a gang once they are empty, those with
	 * the most room now first, so that the same ones are chosen turn after turn. Not
	 * before the gang would be late otherwise.
	 * @param turn the gang
	 * @param allowed the workers that may run it
	 * @param spareMillis time to spare of the gang, without that of a question
	 * @param emptyInMillis tells when what runs on a worker is likely to have ended
	 * @return the reserved workers, none if it is early, if these do not suffice or too
	 * many are reserved
	 */
	List<PoolWorker> reserve(PlacementContext turn, Collection<PoolWorker> allowed, long spareMillis,
			ToLongFunction<PoolWorker> emptyInMillis) {
		if (this.reservedWorkers.size() >= this.maxReserved) {
			return List.of();
		}
		Resources size = turn.step().spec().committedSize();
		int limit = turn.step().spec().maximumPerWorker();
		int most = (limit > 0) ? limit : Integer.MAX_VALUE;
		List<Candidate> usable = new ArrayList<>();
		for (PoolWorker worker : allowed) {
			if (worker.isAcceptingWork(turn.nowNanos()) && turn.matches(worker) && isAvailableToGangs(worker)) {
				usable.add(Candidate.of(worker, size));
			}
		}
		usable.sort(Candidate.ROOMIEST_FIRST);
		List<PoolWorker> chosen = new ArrayList<>();
		int missing = turn.tasks().size();
		for (Candidate candidate : usable) {
			if (missing <= 0) {
				break;
			}
			chosen.add(candidate.worker());
			missing -= Math.min(most, candidate.worker().info().capacity().timesCovering(size));
		}
		boolean isEarly = chosen.stream().mapToLong(emptyInMillis).max().orElse(0) < spareMillis;
		if (isEarly || missing > 0 || this.reservedWorkers.size() + chosen.size() > this.maxReserved) {
			return List.of();
		}
		chosen.forEach((worker) -> this.reservedWorkers.add(worker.id()));
		return chosen;
	}

	/**
	 * Whether a gang may use a worker.
	 * @param worker the worker
	 * @return {@code false} if it is reserved for another one
	 */
	boolean isAvailableToGangs(PoolWorker worker) {
		return !this.reservedWorkers.contains(worker.id());
	}

	/**
	 * Workers that a step may use.
	 * @param step the step, not a gang
	 * @param nowMillis the time of day
	 * @return tells those workers
	 */
	Predicate<PoolWorker> availableTo(QueueEntry step, long nowMillis) {
		boolean hasTime = step.latestStartMillis() - nowMillis > this.slackThresholdMillis;
		return (worker) -> isAvailableToGangs(worker) && !(hasTime && this.setAsideWorkers.contains(worker.id()));
	}

	private record Candidate(PoolWorker worker, int places, double freeShare) {

		private static final Comparator<Candidate> ROOMIEST_FIRST = Comparator.comparingInt(Candidate::places)
			.thenComparingDouble(Candidate::freeShare)
			.reversed()
			.thenComparing((candidate) -> candidate.worker().id());

		static Candidate of(PoolWorker worker, Resources size) {
			return new Candidate(worker, worker.free().timesCovering(size),
					worker.free().largestShareOf(worker.info().capacity()));
		}

	}

}
