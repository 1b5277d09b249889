package org.monsoonrelay.logic.routing;

import java.time.Instant;

/**
 * Load of one backend server, as observed by this gateway. Read while the lock of the
 * server's pool is held.
 */
public interface ServerLoad {

	/**
	 * Return the number of requests from this gateway that are in flight to the server.
	 * @return the number of requests
	 */
	int inFlight();

	/**
	 * Return whether the server is in the same failure domain as this gateway.
	 * @return {@code true} if the failure domains are the same
	 */
	boolean isInSameFailureDomain();

	/**
	 * Return when the server last refused a request because it was full.
	 * @return the time, or {@link Instant#MIN} if it has refused none
	 */
	Instant lastRefusedAt();

	/**
	 * Return when the last response of the server freed a slot.
	 * @return the time, or {@link Instant#MIN} if the server has been given a request
	 * since
	 */
	Instant slotFreedAt();

}
