package org.monsoonrelay.logic.pool;

import java.util.Comparator;
import java.util.List;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Chooses the workers that a first question about a step names: those that are likely to
 * have room for it, spread so that different steps ask about different ones. Each worker
 * named makes the answer later. Naming the first hundred of a large pool for every step
 * filled these and asked again about the others. Stateless.
 */
final class WorkersToAsk {

	/**
	 * Workers that a question names if there are so many; which share of them is allowed
	 * is not known. Pools of this size are asked about whole.
	 */
	static final int USUAL = 40;

	/** Most workers in a question; the service takes no more. */
	static final int MOST = 100;

	/**
	 * Places to ask about for each task: about a third of the workers may be allowed, and
	 * others use them as well.
	 */
	private static final double PLACES_PER_TASK = 4;

	/**
	 * Share of a worker's size that counts as a place, however full it is now: runs end.
	 */
	private static final double SOON_FREE_SHARE = 0.25;

	private WorkersToAsk() {
	}

	/**
	 * Choose workers.
	 * @param turn the step
	 * @param possible the workers that might run it
	 * @return the chosen ones, the most promising first
	 */
	static List<PoolWorker> choose(StepTurn turn, List<PoolWorker> possible) {
		if (possible.size() <= USUAL) {
			return possible;
		}
		ActiveStep step = turn.step();
		List<PoolWorker> ranked = possible.stream()
			.sorted(Comparator.comparingDouble((PoolWorker worker) -> -places(step, worker))
				.thenComparingInt((worker) -> (step.key() + worker.id()).hashCode()))
			.toList();
		double wanted = PLACES_PER_TASK * step.spec().count();
		int count = 0;
		while (count < Math.min(MOST, ranked.size()) && (count < USUAL || wanted > 0)) {
			wanted -= places(step, ranked.get(count));
			count++;
		}
		return ranked.subList(0, count);
	}

	private static double places(ActiveStep step, PoolWorker worker) {
		Resources size = step.spec().committedSize();
		int limit = step.spec().maximumPerWorker();
		int most = (limit > 0) ? limit : step.spec().count();
		double free = Math.min(most, worker.free().timesCovering(size));
		double all = Math.min(most, worker.info().capacity().timesCovering(size));
		return free + SOON_FREE_SHARE * (all - free);
	}

}
