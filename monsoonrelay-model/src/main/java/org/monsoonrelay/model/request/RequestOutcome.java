package org.monsoonrelay.model.request;

import java.time.Duration;
import java.util.List;

/**
 * How a caller's request ended. Immutable.
 */
public sealed interface RequestOutcome {

	/**
	 * A backend server answered and the answer is whole.
	 *
	 * @param status the backend server's status
	 * @param headers the backend server's headers, in order
	 * @param body the whole body
	 */
	record Answered(int status, List<HeaderLine> headers, byte[] body) implements RequestOutcome {

	}

	/**
	 * No backend server has run the request, and this is certain.
	 *
	 * @param reason why it was not run
	 * @param retryAfter how long the caller should wait before it asks again
	 */
	record NotRun(NotRunReason reason, Duration retryAfter) implements RequestOutcome {

	}

	/**
	 * A backend server may have run the request.
	 *
	 * @param detail what is known
	 */
	record Unknown(String detail) implements RequestOutcome {

	}

	/**
	 * One header of an answer.
	 *
	 * @param name the header's name
	 * @param value the header's value
	 */
	record HeaderLine(String name, String value) {

	}

}
