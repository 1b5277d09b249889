package org.monsoonrelay.benchmarks.placement;

import java.util.Map;

import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Places the tasks of jobs during a generated day. Not thread-safe.
 */
interface DayPlacer {

	/**
	 * Begin a round.
	 * @param nowMillis time of the day
	 */
	void beginRound(long nowMillis);

	/**
	 * Place tasks as far as there is room, all or none for a gang.
	 * @param job the job
	 * @param waiting how many of its tasks wait
	 * @return the workers of the attempts placed, which hold a grant
	 */
	Map<AttemptId, Worker> place(DayJob job, int waiting);

	/**
	 * Messages to racks' owners so far.
	 * @return the count
	 */
	long messages();

	/**
	 * Tasks that a rack's owner refused so far, because a summary was old.
	 * @return the count
	 */
	long refusals();

}
