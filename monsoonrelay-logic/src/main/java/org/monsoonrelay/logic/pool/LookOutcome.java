package org.monsoonrelay.logic.pool;

import java.util.List;

/**
 * What came of looking at a worker.
 */
public sealed interface LookOutcome {

	/**
	 * The worker told what runs and what has ended.
	 *
	 * @param clockMillis the worker's clock
	 * @param running runs that go on
	 * @param ended ends that are not acknowledged
	 */
	record Seen(long clockMillis, List<RunningTask> running, List<EndedTask> ended) implements LookOutcome {

		public Seen {
			running = List.copyOf(running);
			ended = List.copyOf(ended);
		}

	}

	/**
	 * Another life of the worker answered: the one looked for is over.
	 */
	record Gone() implements LookOutcome {

	}

	/**
	 * The worker has taken orders from a later owner.
	 */
	record Fenced() implements LookOutcome {

	}

	/**
	 * No usable answer came.
	 *
	 * @param reason what happened
	 */
	record NoAnswer(String reason) implements LookOutcome {

	}

}
