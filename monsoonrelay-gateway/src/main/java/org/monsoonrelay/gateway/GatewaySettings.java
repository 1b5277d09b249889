package org.monsoonrelay.gateway;

import org.monsoonrelay.adapters.node.NodeSettings;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings of a gateway. Immutable.
 *
 * @param node settings that every daemon has
 * @param callerAddress where callers reach it, {@code host:port}
 * @param adminAddress where operators read health and metrics, {@code host:port}
 * @param slotsPerBackendServer the most requests in flight from this gateway to one
 * backend server
 * @param maximumWaiting the most requests that wait for a slot, per service
 * @param attemptLimitMillis how long one attempt of a repeatable request may take, in
 * milliseconds
 * @param drainMillis how long a planned stop waits for work in flight, in milliseconds
 */
public record GatewaySettings(NodeSettings node, String callerAddress, String adminAddress, int slotsPerBackendServer,
		int maximumWaiting, int attemptLimitMillis, int drainMillis) {

	public HostAddress caller() {
		return HostAddress.parse(this.callerAddress);
	}

	public HostAddress admin() {
		return HostAddress.parse(this.adminAddress);
	}

}
