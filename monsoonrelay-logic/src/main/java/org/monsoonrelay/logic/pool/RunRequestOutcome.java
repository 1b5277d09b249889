package org.monsoonrelay.logic.pool;

/**
 * What came of telling a worker to start or stop a run.
 *
 * @param kind the kind of outcome
 * @param clockMillis the worker's clock, -1 if not told
 */
public record RunRequestOutcome(Kind kind, long clockMillis) {

	/** No answer came: it may be carried out, or may yet be. */
	public static final RunRequestOutcome NO_ANSWER = new RunRequestOutcome(Kind.NO_ANSWER, -1);

	/** No byte of it left this host: it is not carried out. */
	public static final RunRequestOutcome UNSENT = new RunRequestOutcome(Kind.UNSENT, -1);

	/** Kinds of outcomes. */
	public enum Kind {

		/** Carried out, now or before. */
		DONE,

		/** The worker has taken orders from a later owner. */
		FENCED,

		/** The attempt is not higher than one that ended there. */
		OLD_ATTEMPT,

		/** The lease that came with the order has passed. */
		TOO_LATE,

		/** There is no room. */
		NO_ROOM,

		/** The ticket is missing, lapsed or not for this worker. */
		TICKET_REFUSED,

		/** The worker does not understand the order. */
		MALFORMED,

		/** The worker is not healthy and has done nothing. */
		UNHEALTHY,

		/** That life of the worker is over. */
		GONE,

		/** The worker could not be connected to. */
		UNSENT,

		/** No answer came. */
		NO_ANSWER;

		/**
		 * Whether the worker has said something.
		 * @return {@code true} if it can be reached
		 */
		public boolean isResponse() {
			return this != UNSENT && this != NO_ANSWER;
		}

	}

}
