package org.monsoonrelay.logic.pool;

import java.util.List;

/**
 * What came of looking at a worker.
 */
public sealed interface PollOutcome {

	/**
	 * The worker told what runs and what has ended.
	 *
	 * @param clockMillis the worker's clock
	 * @param runningTasks runs that go on
	 * @param terminatedTasks ends that are not acknowledged
	 */
	record Report(long clockMillis, List<RunningTask> runningTasks,
			List<TerminatedTask> terminatedTasks) implements PollOutcome {

		public Report {
			runningTasks = List.copyOf(runningTasks);
			terminatedTasks = List.copyOf(terminatedTasks);
		}

	}

	/**
	 * Another life of the worker answered: the one looked for is over.
	 */
	record Gone() implements PollOutcome {

	}

	/**
	 * The worker has taken orders from a later owner.
	 */
	record Fenced() implements PollOutcome {

	}

	/**
	 * No usable answer came.
	 *
	 * @param reason what happened
	 */
	record NoAnswer(String reason) implements PollOutcome {

	}

}
