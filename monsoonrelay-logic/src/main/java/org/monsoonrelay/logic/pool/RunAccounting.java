package org.monsoonrelay.logic.pool;

/**
 * Is notified when a run begins or ceases to occupy a worker, in this order.
 * Implementations are confined to the control thread.
 */
interface RunAccounting {

	/** Counts nothing. */
	RunAccounting NONE = new RunAccounting() {

		@Override
		public void added(Run run) {
		}

		@Override
		public void removed(Run run) {
		}

	};

	/**
	 * A run occupies its worker from now on.
	 * @param run the run
	 */
	void added(Run run);

	/**
	 * A run does not occupy its worker any more.
	 * @param run the run
	 */
	void removed(Run run);

}
