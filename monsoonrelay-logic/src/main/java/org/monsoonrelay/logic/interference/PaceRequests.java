package org.monsoonrelay.logic.interference;

import org.monsoonrelay.logic.pool.ObservedRun;

/**
 * Asks workers to change the speed of runs. Confined to the control thread.
 */
@FunctionalInterface
public interface PaceRequests {

	/**
	 * Asks the worker of a run to change its speed. The request may get lost or be
	 * carried out late; reports of the worker tell.
	 * @param run the run
	 * @param percent percentage of full speed, 0 to 100
	 */
	void pace(ObservedRun run, int percent);

}
