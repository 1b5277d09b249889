package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Client for backend servers. Implementations are thread-safe and send each request at
 * most once per call.
 */
public interface BackendClient {

	/**
	 * Send a request to a backend server.
	 * @param server the address of the backend server
	 * @param request the request
	 * @param attemptDeadline when to abandon the attempt
	 * @return the result of the attempt; never completes exceptionally
	 */
	CompletableFuture<AttemptResult> send(HostAddress server, ForwardedRequest request, Instant attemptDeadline);

}
