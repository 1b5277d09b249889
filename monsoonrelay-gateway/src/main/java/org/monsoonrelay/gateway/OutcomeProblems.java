package org.monsoonrelay.gateway;

import io.jooby.StatusCode;
import org.monsoonrelay.adapters.http.Problem;
import org.monsoonrelay.model.request.NotRunReason;

/**
 * Problems for requests that were not run or whose outcome is unknown. Stateless and
 * thread-safe.
 */
final class OutcomeProblems {

	private OutcomeProblems() {
	}

	static Problem notRun(NotRunReason reason) {
		return switch (reason) {
			case UNKNOWN_SERVICE -> notRun(StatusCode.NOT_FOUND_CODE, "The text in force declares no such service.");
			case UNKNOWN_OPERATION -> notRun(StatusCode.NOT_FOUND_CODE, "The service declares no such operation.");
			case INVALID_REQUEST -> notRun(StatusCode.BAD_REQUEST_CODE, "The request is malformed.");
			case KEY_REUSED ->
				notRun(StatusCode.UNPROCESSABLE_ENTITY_CODE, "The idempotency key belongs to another request.");
			case DEADLINE -> notRun(StatusCode.SERVICE_UNAVAILABLE_CODE, "The deadline came before a free slot.");
			case OVERLOAD -> notRun(StatusCode.SERVICE_UNAVAILABLE_CODE,
					"All slots are taken, and those that wait already come first.");
			case NO_BACKEND_SERVER ->
				notRun(StatusCode.SERVICE_UNAVAILABLE_CODE, "No backend server took the request.");
			case PLATFORM_UNAVAILABLE -> notRun(StatusCode.SERVICE_UNAVAILABLE_CODE,
					"The platform cannot be reached, and this operation may not be repeated.");
			case STOPPING -> notRun(StatusCode.SERVICE_UNAVAILABLE_CODE, "This entry host is stopping.");
		};
	}

	static Problem invalid(String detail) {
		return notRun(StatusCode.BAD_REQUEST_CODE, detail);
	}

	static Problem unknown(String detail) {
		return Problem.of("unknown-outcome", "The outcome is not known", StatusCode.BAD_GATEWAY_CODE,
				"The request may have run: " + detail);
	}

	private static Problem notRun(int status, String detail) {
		return Problem.of("not-run", "The request was not run", status, detail);
	}

}
