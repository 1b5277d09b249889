package org.monsoonrelay.gateway;

import java.util.ArrayList;
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
 * @param slotsPerBackendServer requests that one backend server runs at the same time
 * @param connectionsPerBackendServer connections that one backend server takes from all
 * gateways together
 * @param gateways number of gateways that run at the same time, without one that is being
 * replaced
 * @param maximumWaiting the most requests that wait for a slot, per service
 * @param attemptLimitMillis how long one attempt of a repeatable request may take, in
 * milliseconds
 * @param drainMillis how long a planned stop waits for work in flight, in milliseconds
 */
public record GatewaySettings(NodeSettings node, String callerAddress, String adminAddress, int slotsPerBackendServer,
		int connectionsPerBackendServer, int gateways, int maximumWaiting, int attemptLimitMillis,
		int drainMillis) implements CheckedSettings {

	@Override
	public List<TextFault> faults() {
		AddressCheck addresses = new AddressCheck();
		if (this.node != null) {
			this.node.check(addresses);
		}
		addresses.listens("/callerAddress", this.callerAddress).listens("/adminAddress", this.adminAddress);
		List<TextFault> faults = new ArrayList<>(addresses.faults());
		if (this.slotsPerBackendServer > 0 && slotShare() < 1) {
			faults.add(new TextFault("/connectionsPerBackendServer",
					"must allow one connection for each of the " + this.gateways + " gateways and one more"));
		}
		return faults;
	}

	/**
	 * The most requests in flight from this gateway to one backend server. Each has a
	 * connection of its own, so the gateways together stay below the ceiling, also while
	 * one of them drains and its successor serves already.
	 * @return the count, at least 1 if the settings have no faults
	 */
	public int slotShare() {
		return Math.min(this.slotsPerBackendServer, this.connectionsPerBackendServer / (this.gateways + 1));
	}

	public HostAddress caller() {
		return HostAddress.parse(this.callerAddress);
	}

	public HostAddress admin() {
		return HostAddress.parse(this.adminAddress);
	}

}
