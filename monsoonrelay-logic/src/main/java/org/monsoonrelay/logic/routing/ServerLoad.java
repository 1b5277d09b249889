package org.monsoonrelay.logic.routing;

import java.time.Instant;

/**
 * What this gateway knows of the load of one backend server. Read under the lock of the
 * server's pool.
 */
public interface ServerLoad {

	/**
	 * Requests of this gateway that are in flight to the server.
	 * @return the count
	 */
	int inFlight();

	/**
	 * Tell whether the server stands in the gateway's own failure domain.
	 * @return {@code true} if it does
	 */
	boolean isInSameFailureDomain();

	/**
	 * When the server last refused a request because it was full.
	 * @return the time, {@link Instant#MIN} if it never has
	 */
	Instant lastRefusedAt();

	/**
	 * When the server last answered, if it has been given no request since: one of its
	 * slots was free then.
	 * @return the time, otherwise {@link Instant#MIN}
	 */
	Instant slotFreedAt();

}
