package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Workers that steps with time to spare leave alone in this turn, because a gang that
 * came before them found no room and may use them. Small tasks would otherwise fill
 * whatever becomes free before a gang's room has come together. Answers loads near the
 * capacity of the pool: of what the gangs of the played load were owed 0.84 instead of
 * 0.81 was earned at the load as played, 0.80 instead of 0.76 at 1.25 of it, while other
 * work earned the same 0.999 (model of ten seeds). Built anew for each turn. Not
 * thread-safe.
 */
final class RoomForGangs {

	/**
	 * Time to spare that makes a step wait, milliseconds. At 500, 2000 and any time the
	 * gangs earned 0.788, 0.801 and 0.798 at 1.25 of the load (ten seeds); with four
	 * seeds neighbouring values differed by up to 0.05, so the exact figure matters
	 * little.
	 */
	static final long SPARE_MILLIS = 2000;

	private final long spareMillis;

	private final Set<String> workers = new HashSet<>();

	RoomForGangs(long spareMillis) {
		this.spareMillis = spareMillis;
	}

	void keep(PoolWorker worker) {
		this.workers.add(worker.id());
	}

	/**
	 * Workers that a step may use.
	 * @param step the step, not a gang
	 * @param nowMillis the time of day
	 * @return tells those workers
	 */
	Predicate<PoolWorker> openTo(WaitingStep step, long nowMillis) {
		boolean hasTime = step.latestStartMillis() - nowMillis > this.spareMillis;
		return (worker) -> !hasTime || !this.workers.contains(worker.id());
	}

}
