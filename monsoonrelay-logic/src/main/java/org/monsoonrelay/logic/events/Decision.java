package org.monsoonrelay.logic.events;

/**
 * A decision or a change of belief, with the inputs that led to it. The name of the
 * record is the name of the event. Ages are in milliseconds. Immutable.
 */
public sealed interface Decision permits ProcessDecision, JobDecision, PoolDecision {

	/**
	 * Whether this tells what became of a job or a request in the end, which no other
	 * line does.
	 * @return {@code true} if it has to be kept before others
	 */
	default boolean reportsFinalOutcome() {
		return false;
	}

}
