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
 * @param node settings common to all daemons
 * @param callerAddress address for callers, {@code host:port}
 * @param adminAddress address for health checks and metrics, {@code host:port}
 * @param slotsPerBackendServer number of requests that one backend server runs
 * concurrently
 * @param connectionsPerBackendServer maximum number of connections of all gateways
 * together to one backend server
 * @param gateways number of gateways that run at the same time, not counting one that is
 * being replaced
 * @param maximumWaiting maximum number of requests that wait for a slot, per service
 * @param attemptLimitMillis maximum duration of one attempt of a repeatable request, in
 * milliseconds
 * @param drainMillis maximum time that a planned stop waits for requests in flight, in
 * milliseconds
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
	 * The maximum number of requests in flight from this gateway to one backend server.
	 * Each request uses its own connection, so all gateways together stay within the
	 * connection limit, even while one of them drains and its successor already serves
	 * callers.
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
