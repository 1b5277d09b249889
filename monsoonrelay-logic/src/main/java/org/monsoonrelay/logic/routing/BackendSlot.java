package org.monsoonrelay.logic.routing;

import org.monsoonrelay.model.host.HostAddress;

/**
 * A slot that a pool has given out, bound to one incarnation of a backend server. To be
 * given back once. Immutable.
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
	 * Where the backend server listens.
	 * @return its address
	 */
	public HostAddress address() {
		return this.server.address();
	}

}
