package org.monsoonrelay.logic.pool;

/**
 * Receives events that concern the whole pool. Called on the control thread.
 */
interface RunListener {

	/**
	 * Called when free capacity or job progress may have changed.
	 */
	void stateChanged();

	/**
	 * Called when a worker rejects a request because it has served a later owner.
	 * @param worker the worker's id
	 */
	void workerFenced(String worker);

	/**
	 * Called when no higher fencing token is left for a worker, so that another owner has
	 * to take over.
	 */
	void fencingTokensUsedUp();

}
