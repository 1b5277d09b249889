package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.StepSpec;

/**
 * A task for which a worker is about to be selected. Immutable.
 *
 * @param queue name of the job's queue
 * @param step what its step requires
 * @param deadlineMillis deadline of the job, epoch milliseconds
 * @param pathMillis declared run time of the longest dependency chain that starts with
 * the step, milliseconds
 */
public record WaitingTask(String queue, StepSpec step, long deadlineMillis, long pathMillis) {

	static WaitingTask of(ActiveStep step) {
		QueueEntry entry = step.queueEntry();
		return new WaitingTask(step.job().submission().policy().queue(), step.spec(), entry.deadlineMillis(),
				entry.criticalPathMillis());
	}

}
