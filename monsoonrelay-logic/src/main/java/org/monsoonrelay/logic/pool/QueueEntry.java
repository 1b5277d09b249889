package org.monsoonrelay.logic.pool;

/**
 * A step with tasks that wait, as the order of the queue sees it. Immutable.
 *
 * @param step the step
 * @param priority priority of its queue, 0 first
 * @param acceptedMillis when its occurrence could begin, epoch milliseconds
 * @param deadlineMillis when the job has to be done to be in time, epoch milliseconds
 * @param chainMillis declared run time of the longest chain from this step on
 */
record QueueEntry(ActiveStep step, int priority, long readyMillis, long deadlineMillis, long criticalPathMillis) {

	/**
	 * See a step as the order sees it.
	 * @param step the step
	 * @return the view
	 */
	static QueueEntry of(ActiveStep step) {
		var submission = step.job().submission();
		int occurrence = step.key().occurrence();
		return new QueueEntry(step, submission.policy().priority(), submission.dueMillis(occurrence),
				submission.deadlineMillis(occurrence), submission.chainMillis(step.key().step()));
	}

	long latestStartMillis() {
		return this.deadlineMillis - this.criticalPathMillis;
	}

}
