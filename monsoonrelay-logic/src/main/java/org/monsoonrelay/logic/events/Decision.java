package org.monsoonrelay.logic.events;

/**
 * A decision, or a change in what a process knows, with the inputs that led to it. The
 * simple name of the record is the event name in the log, and its components are the
 * fields of the line. Ages are in milliseconds. Immutable.
 */
public sealed interface Decision permits ProcessDecision, JobDecision, PoolDecision {

	/**
	 * Whether this line is the only one that reports the final outcome of a job or a
	 * request. Such lines are kept in preference to others under load.
	 * @return {@code true} if the line reports a final outcome
	 */
	default boolean reportsFinalOutcome() {
		return false;
	}

}
