package org.monsoonrelay.logic.routing;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Slot on one incarnation of a backend server, acquired from a {@link BackendPool}. Must
 * be released once. Immutable.
 */
public final class BackendSlot {

	private final BackendServer server;

	BackendSlot(BackendServer server) {
		this.server = server;
	}

	BackendServer server() {
		return this.server;
	}

	/**
	 * Return the address of the backend server.
	 * @return the address
	 */
	public HostAddress address() {
		return this.server.address();
	}

}
