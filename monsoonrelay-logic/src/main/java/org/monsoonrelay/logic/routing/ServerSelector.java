package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Strategy that selects the backend server for a request. Called while the lock of the
 * pool is held, so implementations need not be thread-safe, but an instance must not be
 * shared between pools.
 */
public interface ServerSelector {

	/**
	 * Select a server.
	 * @param <S> the type of the servers
	 * @param available the servers that can be given the request
	 * @param now the current time
	 * @return the server, or empty if the request should wait
	 */
	<S extends ServerLoad> Optional<S> select(List<S> available, Instant now);

}
