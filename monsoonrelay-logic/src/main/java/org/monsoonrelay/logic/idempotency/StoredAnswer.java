package org.monsoonrelay.logic.idempotency;

import java.util.List;

import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * Complete response of a backend server, stored for repeated requests with the same key.
 * Immutable by convention: the body array must not be modified.
 *
 * @param status the HTTP status code, 0 if there is no response
 * @param headers the response headers
 * @param body the complete response body
 */
public record StoredAnswer(int status, List<HeaderLine> headers, byte[] body) {

	/** Placeholder for a response that is unknown or not stored. */
	public static final StoredAnswer NONE = new StoredAnswer(0, List.of(), new byte[0]);

	public StoredAnswer {
		headers = List.copyOf(headers);
	}

	static StoredAnswer of(RequestOutcome.Answered answered) {
		return new StoredAnswer(answered.status(), answered.headers(), answered.body());
	}

	int size() {
		return this.body.length
				+ this.headers.stream().mapToInt((header) -> header.name().length() + header.value().length()).sum();
	}

	RequestOutcome.Answered toOutcome() {
		return new RequestOutcome.Answered(this.status, this.headers, this.body);
	}

}
