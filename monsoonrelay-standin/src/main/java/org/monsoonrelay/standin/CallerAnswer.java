package org.monsoonrelay.standin;

/**
 * What a caller got for one request. Immutable.
 *
 * @param name the request's name
 * @param operation the operation asked for
 * @param kind what came
 */
public record CallerAnswer(String name, String operation, Kind kind) {

	/**
	 * Kinds of answers.
	 */
	public enum Kind {

		/** The whole answer to the request. */
		ANSWERED,

		/** The word that it was not run. */
		NOT_RUN,

		/** The word that it may have run. */
		UNKNOWN,

		/** Another request's answer. */
		CROSSED,

		/** Part of an answer, passed off as whole. */
		CUT,

		/** No connection to the gateway could be made, so nothing was sent. */
		UNREACHED,

		/** No answer, though the request was sent. */
		LOST

	}

}
