package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.util.List;

import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;
import org.monsoonrelay.model.workload.Operation;

/**
 * A caller's request as it is forwarded. Immutable.
 *
 * @param id identity of the request, for logs
 * @param service the service asked for
 * @param operation the operation asked for
 * @param method the HTTP method
 * @param query the query string, empty if none
 * @param headers headers to forward
 * @param body the whole body
 * @param deadline when the caller stops waiting
 */
public record ForwardedRequest(String id, String service, Operation operation, String method, String query,
		List<HeaderLine> headers, byte[] body, Instant deadline) {

	public ForwardedRequest {
		headers = List.copyOf(headers);
	}

}
