package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.OptionalLong;

/**
 * Outcome of polling a worker.
 */
public sealed interface PollOutcome {

	/**
	 * The worker reported its active runs and unacknowledged terminations. Immutable.
	 *
	 * @param startedMillis when the incarnation that answers was started, epoch
	 * milliseconds on the worker's clock; empty if it does not tell
	 * @param clockMillis the worker's clock, milliseconds
	 * @param runningTasks runs that are still active
	 * @param terminatedTasks terminations that are not yet acknowledged, by ascending
	 * sequence number
	 * @param complete whether all of these terminations are listed; otherwise a run in
	 * neither list may have terminated
	 */
	record Report(OptionalLong startedMillis, long clockMillis, List<RunningTask> runningTasks,
			List<TerminatedTask> terminatedTasks, boolean complete) implements PollOutcome {

		public Report {
			runningTasks = List.copyOf(runningTasks);
			terminatedTasks = List.copyOf(terminatedTasks);
		}

	}

	/**
	 * Another worker answered at the address, so the polled one no longer exists.
	 */
	record Gone() implements PollOutcome {

	}

	/**
	 * The worker rejected the fencing token because it has served a later owner.
	 */
	record Fenced() implements PollOutcome {

	}

	/**
	 * No usable response was received.
	 *
	 * @param reason description of the failure
	 */
	record NoAnswer(String reason) implements PollOutcome {

	}

}
