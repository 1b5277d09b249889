package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server that a request is sent to. Called under the lock of a pool,
 * so implementations need not be thread-safe, but each belongs to one pool.
 */
public interface ServerSelector {

	/**
	 * Choose a server.
	 * @param <S> type of the servers
	 * @param able the servers that may be given the request
	 * @param now the present time
	 * @return the server, or empty if the request had better wait
	 */
	<S extends ServerLoad> Optional<S> select(List<S> able, Instant now);

}
