package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Port to the backend servers. Implementations are safe for use by several threads and
 * send each request at most once.
 */
public interface BackendClient {

	/**
	 * Send a request.
	 * @param server the backend server
	 * @param request the request
	 * @param giveUpAt when to give the attempt up
	 * @return how the attempt ended; never fails
	 */
	CompletableFuture<AttemptResult> send(HostAddress server, ForwardedRequest request, Instant giveUpAt);

}
