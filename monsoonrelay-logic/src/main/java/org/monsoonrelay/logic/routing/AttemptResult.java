package org.monsoonrelay.logic.routing;

import java.util.List;

import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * How one attempt at a backend server ended. Immutable.
 */
public sealed interface AttemptResult {

	/**
	 * The whole answer arrived.
	 *
	 * @param status the status
	 * @param headers the headers
	 * @param body the whole body
	 */
	record Answered(int status, List<HeaderLine> headers, byte[] body) implements AttemptResult {

	}

	/**
	 * The backend server said that it has not started the request.
	 *
	 * @param leaving whether it is leaving, otherwise it is full
	 */
	record Refused(boolean leaving) implements AttemptResult {

	}

	/**
	 * No byte of the request was sent.
	 *
	 * @param detail what went wrong
	 */
	record NotSent(String detail) implements AttemptResult {

	}

	/**
	 * The request was sent, at least in part, and no whole answer came.
	 *
	 * @param timedOut whether time ran out, otherwise the connection broke
	 * @param detail what went wrong
	 */
	record Incomplete(boolean timedOut, String detail) implements AttemptResult {

	}

	/**
	 * The request was sent over a connection that was open before, and nothing was heard
	 * over any of the backend server's connections of that age for a while: more likely
	 * the connections have gone silent than the backend server. They have been given up.
	 *
	 * @param detail what went wrong
	 */
	record StaleConnection(String detail) implements AttemptResult {

	}

}
