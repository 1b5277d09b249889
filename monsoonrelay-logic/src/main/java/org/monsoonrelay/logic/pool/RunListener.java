package org.monsoonrelay.logic.pool;

/**
 * Told of what matters beyond single runs, on the control thread.
 */
interface RunListener {

	/**
	 * Room or progress has changed.
	 */
	void stateChanged();

	/**
	 * A worker obeys a later owner.
	 * @param worker the worker
	 */
	void workerFenced(String worker);

}
