package org.monsoonrelay.logic.pool;

/**
 * Which rules decide what is placed first, and where. Immutable.
 *
 * @param order the order in which steps are offered room
 * @param choice the worker for a task among those with room
 * @param spareMillis time to spare that makes a step leave room to gangs, milliseconds
 */
record PlacementRules(QueueOrder order, WorkerChoice choice, long spareMillis) {

	/** The rules that earned most on the played loads, see their classes. */
	static final PlacementRules IN_USE = new PlacementRules(new LeastSlackOrder(), new GangSparingBestFit(),
			RoomForGangs.SPARE_MILLIS);

}
