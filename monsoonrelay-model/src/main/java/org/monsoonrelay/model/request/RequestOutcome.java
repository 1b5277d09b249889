package org.monsoonrelay.model.request;

import java.time.Duration;
import java.util.List;

/**
 * How a caller's request ended. Immutable.
 */
public sealed interface RequestOutcome {

	/**
	 * A backend server returned a complete response.
	 *
	 * @param status HTTP status of the response
	 * @param headers headers of the response, in order
	 * @param body the complete body
	 */
	record Answered(int status, List<HeaderLine> headers, byte[] body) implements RequestOutcome {

	}

	/**
	 * It is certain that no backend server has run the request.
	 *
	 * @param reason why it was not run
	 * @param retryAfter how long the caller should wait before a retry
	 */
	record NotRun(NotRunReason reason, Duration retryAfter) implements RequestOutcome {

	}

	/**
	 * It is unknown whether a backend server has run the request.
	 *
	 * @param detail description of the failure
	 */
	record Unknown(String detail) implements RequestOutcome {

	}

	/**
	 * One header of a response.
	 *
	 * @param name the header's name
	 * @param value the header's value
	 */
	record HeaderLine(String name, String value) {

	}

}
