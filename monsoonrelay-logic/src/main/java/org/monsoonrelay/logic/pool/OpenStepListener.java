package org.monsoonrelay.logic.pool;

/**
 * Is notified of steps that are opened and closed. Called on the control thread.
 */
interface OpenStepListener {

	/** Does nothing. */
	OpenStepListener NONE = new OpenStepListener() {

		@Override
		public void opened(ActiveStep step) {
		}

		@Override
		public void closed(ActiveStep step) {
		}

	};

	/**
	 * Called when tasks of a step may be started or run.
	 * @param step the step
	 */
	void opened(ActiveStep step);

	/**
	 * Called when nothing is left to do for a step.
	 * @param step the step
	 */
	void closed(ActiveStep step);

}
