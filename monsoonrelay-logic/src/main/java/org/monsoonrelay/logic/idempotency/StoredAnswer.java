package org.monsoonrelay.logic.idempotency;

import java.util.List;

import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * A backend server's whole answer as it is kept for repeats. Immutable by convention: the
 * body is not changed once it is stored.
 *
 * @param status the status, 0 if there is no answer
 * @param headers the headers
 * @param body the whole body
 */
public record StoredAnswer(int status, List<HeaderLine> headers, byte[] body) {

	/** No answer. */
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
