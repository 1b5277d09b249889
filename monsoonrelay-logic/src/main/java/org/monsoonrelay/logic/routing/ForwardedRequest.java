package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.util.List;

import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;
import org.monsoonrelay.model.workload.Operation;

/**
 * Request of a caller that is forwarded to a backend server. Immutable.
 *
 * @param id identifier of the request, used in logs and to identify its own idempotency
 * record
 * @param service the requested service
 * @param operation the requested operation
 * @param method the HTTP method
 * @param query the query string, empty if none
 * @param headers the headers to forward
 * @param body the complete request body
 * @param deadline when the caller stops waiting for the response
 */
public record ForwardedRequest(String id, String service, Operation operation, String method, String query,
		List<HeaderLine> headers, byte[] body, Instant deadline) {

	public ForwardedRequest {
		headers = List.copyOf(headers);
	}

}
