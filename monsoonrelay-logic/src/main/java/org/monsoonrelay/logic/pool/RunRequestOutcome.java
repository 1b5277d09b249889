package org.monsoonrelay.logic.pool;

/**
 * Outcome of a request to start or stop a run. Immutable.
 *
 * @param kind the kind of outcome
 * @param clockMillis the worker's clock in milliseconds, -1 if not reported
 */
public record RunRequestOutcome(Kind kind, long clockMillis) {

	/** No response was received: the request may have been executed or may still be. */
	public static final RunRequestOutcome NO_ANSWER = new RunRequestOutcome(Kind.NO_ANSWER, -1);

	/** No byte of the request left this host, so it was not executed. */
	public static final RunRequestOutcome UNSENT = new RunRequestOutcome(Kind.UNSENT, -1);

	/** The kinds of outcome. */
	public enum Kind {

		/** The request was executed, now or earlier. */
		DONE,

		/** The worker rejected the fencing token because it has served a later owner. */
		FENCED,

		/** The attempt number is not higher than that of a run that terminated there. */
		OLD_ATTEMPT,

		/** The lease in the request has expired. */
		TOO_LATE,

		/** The worker lacks free capacity. */
		NO_ROOM,

		/** The eligibility ticket is missing, expired or not valid for this worker. */
		TICKET_REFUSED,

		/** The worker cannot parse the request. */
		MALFORMED,

		/** The worker is unhealthy and did not execute the request. */
		UNHEALTHY,

		/** Another worker answered at the address. */
		GONE,

		/** No connection to the worker could be established. */
		UNSENT,

		/** No response was received. */
		NO_ANSWER;

		/**
		 * Returns whether the worker responded.
		 * @return {@code true} if the outcome stems from a response of the worker
		 */
		public boolean isResponse() {
			return this != UNSENT && this != NO_ANSWER;
		}

	}

}
