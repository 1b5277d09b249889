package org.monsoonrelay.logic.pool;

/**
 * The attributes of a step that determine its position in the queue. Immutable.
 *
 * @param step the step
 * @param priority priority of its queue, 0 is the highest
 * @param readyMillis earliest start of its occurrence, epoch milliseconds
 * @param deadlineMillis deadline of the job, epoch milliseconds
 * @param criticalPathMillis declared run time of the longest dependency chain that starts
 * with this step, milliseconds
 */
record QueueEntry(ActiveStep step, int priority, long readyMillis, long deadlineMillis, long criticalPathMillis) {

	/**
	 * Creates the queue entry of a step.
	 * @param step the step
	 * @return the queue entry
	 */
	static QueueEntry of(ActiveStep step) {
		var submission = step.job().submission();
		int occurrence = step.key().occurrence();
		return new QueueEntry(step, submission.policy().priority(), submission.dueMillis(occurrence),
				submission.deadlineMillis(occurrence), submission.criticalPathMillis(step.key().step()));
	}

	long latestStartMillis() {
		return this.deadlineMillis - this.criticalPathMillis;
	}

}
