package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.StepSpec;

/**
 * Decides whether a start request may be repeated while an earlier one is unanswered. A
 * worker executes a request once, but its next incarnation knows nothing of that and
 * executes the other one, even after the task has completed. Stateless and thread-safe.
 */
final class StartRepetition {

	private StartRepetition() {
	}

	/**
	 * Returns whether no harm is done if the next incarnation of the worker executes the
	 * request.
	 * @param step the step of the task
	 * @param ticket the eligibility ticket in the request, empty for none
	 * @return {@code true} if later incarnations refuse the ticket, or if the task need
	 * not run only once
	 */
	static boolean isHarmless(StepSpec step, String ticket) {
		return !ticket.isEmpty() || step.longRunning() || step.speculative();
	}

}
