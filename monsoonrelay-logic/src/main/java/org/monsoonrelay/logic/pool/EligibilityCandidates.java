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
 * Chooses the workers that a question about a step names. A first one names those that
 * are likely to have room for it, spread so that different steps ask about different
 * ones: naming the same hundred for every step would fill these alone. Each worker named
 * makes the answer later. Stateless.
 */
final class EligibilityCandidates {

	/**
	 * Workers that a question names if there are so many; which share of them is allowed
	 * is not known. Pools of this size are asked about whole.
	 */
	static final int DEFAULT_REQUEST_SIZE = 40;

	/** Most workers in a question; the service takes no more. */
	static final int MAX_REQUEST_SIZE = 100;

	/**
	 * Places to ask about for each task: about a third of the workers may be allowed, and
	 * others use them as well.
	 */
	private static final double SLOTS_PER_TASK = 4;

	/**
	 * Share of a worker's size that counts as a place, however full it is now: runs end.
	 */
	private static final double OCCUPIED_SLOT_WEIGHT = 0.25;

	/**
	 * Places on workers known as allowed, whatever runs there now, that are enough for a
	 * task. In a pool four fifths full a gang finds room on a third of its places.
	 */
	private static final int MIN_SLOTS_PER_TASK = 3;

	/**
	 * Share of workers that nobody has asked about which are likely to be allowed; more
	 * are on most queues.
	 */
	private static final double EXPECTED_ELIGIBLE_SHARE = 1.0 / 3;

	private EligibilityCandidates() {
	}

	/**
	 * Choose workers.
	 * @param turn the step
	 * @param possible the workers that might run it
	 * @return the chosen ones, the most promising first
	 */
	static List<PoolWorker> selectInitial(PlacementContext turn, List<PoolWorker> possible) {
		if (possible.size() <= DEFAULT_REQUEST_SIZE) {
			return possible;
		}
		ActiveStep step = turn.step();
		String key = step.key().toString();
		List<Candidate> ranked = new ArrayList<>();
		for (PoolWorker worker : possible) {
			ranked.add(new Candidate(worker, weightedSlots(step, worker), (key + worker.id()).hashCode()));
		}
		ranked.sort(Candidate.MOST_PLACES_FIRST);
		List<PoolWorker> chosen = new ArrayList<>();
		double wanted = SLOTS_PER_TASK * step.spec().count();
		for (Candidate candidate : ranked) {
			if (chosen.size() >= MAX_REQUEST_SIZE || (chosen.size() >= DEFAULT_REQUEST_SIZE && wanted <= 0)) {
				break;
			}
			wanted -= candidate.places();
			chosen.add(candidate.worker());
		}
		return chosen;
	}

	/**
	 * Choose workers for a further question about a step that is not a gang: those that
	 * have room now, then others that are known as allowed and whose tickets have lapsed.
	 * Room that becomes free on these is then used at once: naming only the few with room
	 * would take a question for each of them.
	 * @param turn the step
	 * @param known the workers known as allowed
	 * @param withRoom those of them that have room now
	 * @return the chosen ones
	 */
	static List<PoolWorker> selectForRenewal(PlacementContext turn, Collection<PoolWorker> known,
			List<PoolWorker> withRoom) {
		ActiveStep step = turn.step();
		Comparator<PoolWorker> roomiest = Comparator.comparingDouble((worker) -> -weightedSlots(step, worker));
		Set<PoolWorker> chosen = new LinkedHashSet<>();
		withRoom.stream().sorted(roomiest).limit(DEFAULT_REQUEST_SIZE).forEach(chosen::add);
		known.stream()
			.filter((worker) -> worker.isUsable() && !turn.hasTicket(worker))
			.sorted(roomiest)
			.limit(DEFAULT_REQUEST_SIZE)
			.forEach(chosen::add);
		return chosen.stream().limit(DEFAULT_REQUEST_SIZE).toList();
	}

	/**
	 * Choose workers that nobody has asked about: if those known as allowed are too few,
	 * or if others have room for the tasks that wait. A step asks so while none of those
	 * known as allowed has room; without it, it would wait for them beside workers that
	 * have nothing to do. A step that can wait does so for those known as allowed: room
	 * found elsewhere is mostly gone when the answer comes, and the next question seeks
	 * it again.
	 * @param turn the step
	 * @param known the workers known as allowed
	 * @param unasked the workers that nobody has asked about
	 * @param canWait whether the step can wait a little and still be in time
	 * @return the chosen ones, none if there is nothing to ask
	 */
	static List<PoolWorker> selectAdditional(PlacementContext turn, Collection<PoolWorker> known,
			List<PoolWorker> unasked, boolean canWait) {
		int wanted = turn.step().spec().gang() ? turn.tasks().size() : 1;
		int size = totalSlots(turn, known);
		boolean isShort = size < MIN_SLOTS_PER_TASK * turn.step().spec().count();
		int free = freeSlots(turn, unasked);
		boolean isRoomElsewhere = !canWait && free > 0
				&& freeSlots(turn, known) + EXPECTED_ELIGIBLE_SHARE * free >= wanted;
		if (!isShort && !isRoomElsewhere) {
			return List.of();
		}
		return selectInitial(turn, unasked).stream().limit(DEFAULT_REQUEST_SIZE).toList();
	}

	/**
	 * Whether workers are large enough for all tasks of a step, whatever runs there now.
	 * @param turn the step
	 * @param known the workers
	 * @return {@code true} if so
	 */
	static boolean canHoldAllTasks(PlacementContext turn, Collection<PoolWorker> known) {
		return totalSlots(turn, known) >= turn.step().spec().count();
	}

	private static int totalSlots(PlacementContext turn, Collection<PoolWorker> workers) {
		return countSlots(turn, workers, (worker) -> worker.info().capacity());
	}

	private static int freeSlots(PlacementContext turn, Collection<PoolWorker> workers) {
		return countSlots(turn, workers,
				(worker) -> worker.isAcceptingWork(turn.nowNanos()) ? worker.free() : Resources.NONE);
	}

	private static int countSlots(PlacementContext turn, Collection<PoolWorker> workers,
			Function<PoolWorker, Resources> room) {
		Resources size = turn.step().spec().committedSize();
		int limit = turn.step().spec().maximumPerWorker();
		int most = (limit > 0) ? limit : Integer.MAX_VALUE;
		return workers.stream()
			.filter(turn::matches)
			.mapToInt((worker) -> Math.min(most, room.apply(worker).timesCovering(size)))
			.sum();
	}

	private static double weightedSlots(ActiveStep step, PoolWorker worker) {
		Resources size = step.spec().committedSize();
		int limit = step.spec().maximumPerWorker();
		int most = (limit > 0) ? limit : step.spec().count();
		double free = Math.min(most, worker.free().timesCovering(size));
		double all = Math.min(most, worker.info().capacity().timesCovering(size));
		return free + OCCUPIED_SLOT_WEIGHT * (all - free);
	}

	/**
	 * A worker with what its place in the order needs, worked out once: a sort compares
	 * each worker several times.
	 */
	private record Candidate(PoolWorker worker, double places, int spread) {

		private static final Comparator<Candidate> MOST_PLACES_FIRST = Comparator.comparingDouble(Candidate::places)
			.reversed()
			.thenComparingInt(Candidate::spread);

	}

}
