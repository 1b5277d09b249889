package org.monsoonrelay.logic.pool;

/**
 * Which rules decide what is placed first, and where. Immutable.
 *
 * @param order the order in which steps are offered room
 * @param choice the worker for a task among those with room
 * @param spareMillis time to spare that makes a step leave room to gangs, milliseconds
 * @param reservedShare most workers reserved for gangs that are about to be late, as a
 * share of the pool
 */
record PlacementRules(QueueOrder order, WorkerSelector selector, long slackThresholdMillis, double maxReservedShare) {

	/** The rules in use; their classes say which loads they answer. */
	static final PlacementRules DEFAULT = new PlacementRules(new LeastSlackOrder(), new GangAwareBestFit(),
			GangReservations.SLACK_THRESHOLD_MILLIS, GangReservations.MAX_RESERVED_SHARE);

}
