package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.speeds.SpeedPreference;
import org.monsoonrelay.logic.speeds.WorkerSpeeds;

/**
 * The rules that decide which step is placed first and on which worker. Immutable.
 *
 * @param order the order in which steps are offered capacity
 * @param selector selects the worker for a task among the candidates
 * @param slackThresholdMillis slack above which a step leaves capacity to gangs,
 * milliseconds
 * @param maxReservedShare largest share of the pool's workers that may be reserved for
 * gangs that are about to be late
 * @param observers learn from the runs what the rules use
 */
record PlacementRules(QueueOrder order, WorkerSelector selector, long slackThresholdMillis, double maxReservedShare,
		List<RunObserver> observers) {

	PlacementRules(QueueOrder order, WorkerSelector selector, long slackThresholdMillis, double maxReservedShare) {
		this(order, selector, slackThresholdMillis, maxReservedShare, List.of());
	}

	/** The default rules; their classes describe the loads that they are designed for. */
	static final PlacementRules DEFAULT = new PlacementRules(new LeastSlackOrder(), new GangAwareBestFit(),
			GangReservations.SLACK_THRESHOLD_MILLIS, GangReservations.MAX_RESERVED_SHARE);

	/**
	 * The default rules with preferences among the workers that could run a task.
	 * @param preferences the preferences, the most important one first
	 * @return the rules
	 */
	static PlacementRules preferring(List<WorkerPreference> preferences) {
		return new PlacementRules(DEFAULT.order(), new GangAwareBestFit(preferences), DEFAULT.slackThresholdMillis(),
				DEFAULT.maxReservedShare());
	}

	/**
	 * The default rules with what an owner learns of the speed of its workers.
	 * @param clock the clocks
	 * @param log receives what is learned
	 * @param others preferences that are less important than speeds
	 * @return the rules, for one owner
	 */
	static PlacementRules learning(PoolClock clock, DecisionLog log, List<WorkerPreference> others) {
		WorkerSpeeds speeds = new WorkerSpeeds(log, clock.nanos());
		List<WorkerPreference> preferences = new ArrayList<>();
		preferences.add(new SpeedPreference(speeds, clock));
		preferences.addAll(others);
		PlacementRules rules = preferring(preferences);
		return new PlacementRules(rules.order(), rules.selector(), rules.slackThresholdMillis(),
				rules.maxReservedShare(), List.of(speeds));
	}

}
