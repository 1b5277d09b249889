package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.StepSpec;

/**
 * Decides whether harm is done if the next incarnation of a worker executes a start
 * request that was sent to the former one. It knows nothing of the former one's runs, so
 * that it would run a task once more even after the task has completed. Stateless and
 * thread-safe.
 */
final class LateStartPolicy {

	private LateStartPolicy() {
	}

	/**
	 * Returns whether a start request may be sent again while it is unanswered, and its
	 * task started elsewhere once the current incarnation refuses it.
	 * @param step the step of the task
	 * @param ticket the eligibility ticket in the request, empty for none
	 * @return {@code true} if later incarnations refuse the ticket, or if the task need
	 * not run only once
	 */
	static boolean isHarmless(StepSpec step, String ticket) {
		return !ticket.isEmpty() || step.longRunning() || step.speculative();
	}

}
