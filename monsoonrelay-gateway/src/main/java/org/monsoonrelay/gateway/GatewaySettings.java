package org.monsoonrelay.gateway;

import java.util.List;

import org.monsoonrelay.adapters.node.NodeSettings;
import org.monsoonrelay.adapters.settings.AddressCheck;
import org.monsoonrelay.adapters.settings.CheckedSettings;
import org.monsoonrelay.logic.text.TextFault;
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
		int maximumWaiting, int attemptLimitMillis, int drainMillis) implements CheckedSettings {

	@Override
	public List<TextFault> faults() {
		AddressCheck addresses = new AddressCheck();
		if (this.node != null) {
			this.node.check(addresses);
		}
		return addresses.listens("/callerAddress", this.callerAddress)
			.listens("/adminAddress", this.adminAddress)
			.faults();
	}

	public HostAddress caller() {
		return HostAddress.parse(this.callerAddress);
	}

	public HostAddress admin() {
		return HostAddress.parse(this.adminAddress);
	}

}
