package org.monsoonrelay.logic.routing;

import java.util.List;

import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * Result of one attempt to send a request to a backend server. Immutable.
 */
public sealed interface AttemptResult {

	/**
	 * The backend server returned a complete response.
	 *
	 * @param status the HTTP status code
	 * @param headers the response headers
	 * @param body the complete response body
	 */
	record Answered(int status, List<HeaderLine> headers, byte[] body) implements AttemptResult {

	}

	/**
	 * The backend server refused the request and has not started it.
	 *
	 * @param leaving {@code true} if the server is leaving, {@code false} if it is full
	 */
	record Refused(boolean leaving) implements AttemptResult {

	}

	/**
	 * No byte of the request was sent.
	 *
	 * @param detail description of the failure
	 */
	record NotSent(String detail) implements AttemptResult {

	}

	/**
	 * The request was sent at least in part, but no complete response was received.
	 *
	 * @param timedOut {@code true} if the attempt timed out, {@code false} if the
	 * connection failed or the response was invalid
	 * @param detail description of the failure
	 */
	record Incomplete(boolean timedOut, String detail) implements AttemptResult {

	}

	/**
	 * The request was sent over a reused connection, and no data has been received for a
	 * while on any of the backend server's connections of that age. A fault of the
	 * connections is more likely than a fault of the server, so the connections have been
	 * closed.
	 *
	 * @param detail description of the failure
	 */
	record StaleConnection(String detail) implements AttemptResult {

	}

}
