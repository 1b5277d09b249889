package org.monsoonrelay.logic.pool;

/**
 * Told of what matters beyond single runs, on the control thread.
 */
interface RunListener {

	/**
	 * Room or progress has changed.
	 */
	void changed();

	/**
	 * A worker obeys a later owner.
	 * @param worker the worker
	 */
	void fenced(String worker);

}
