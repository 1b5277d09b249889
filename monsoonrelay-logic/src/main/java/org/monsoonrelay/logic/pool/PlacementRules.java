package org.monsoonrelay.logic.pool;

/**
 * The rules that decide which step is placed first and on which worker. Immutable.
 *
 * @param order the order in which steps are offered capacity
 * @param selector selects the worker for a task among the candidates
 * @param slackThresholdMillis slack above which a step leaves capacity to gangs,
 * milliseconds
 * @param maxReservedShare largest share of the pool's workers that may be reserved for
 * gangs that are about to be late
 */
record PlacementRules(QueueOrder order, WorkerSelector selector, long slackThresholdMillis, double maxReservedShare) {

	/** The default rules; their classes describe the loads that they are designed for. */
	static final PlacementRules DEFAULT = new PlacementRules(new LeastSlackOrder(), new GangAwareBestFit(),
			GangReservations.SLACK_THRESHOLD_MILLIS, GangReservations.MAX_RESERVED_SHARE);

}
