package org.monsoonrelay.standin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings files of a test cell's daemons. Not thread-safe.
 */
public final class CellSettings {

	private static final String SECRET = "cell-secret";

	private final CellLayout layout;

	private final Map<Integer, HostAddress> relays = new HashMap<>();

	private int sessionLapseMillis = 4000;

	CellSettings(CellLayout layout) {
		this.layout = layout;
	}

	/**
	 * Set when a scheduler's session lapses.
	 * @param millis the time without a renewal, in milliseconds
	 */
	public void setSessionLapse(int millis) {
		this.sessionLapseMillis = millis;
	}

	/**
	 * Have the daemons of one entry host reach the platform through a relay.
	 * @param index the index of its gateway and scheduler
	 * @return the relay, which the caller closes
	 */
	public CutRelay relayToPlatform(int index) {
		HostAddress address = this.layout.relay(index);
		this.relays.put(index, address);
		return new CutRelay(address, this.layout.platform());
	}

	String gateway(int index) {
		Map<String, Object> settings = new TreeMap<>();
		settings.put("node", node("gateway-", index, this.layout.gatewayPeer(index)));
		settings.put("callerAddress", this.layout.callers(index).toString());
		settings.put("adminAddress", this.layout.gatewayAdmin(index).toString());
		settings.put("slotsPerBackendServer", 8);
		settings.put("connectionsPerBackendServer", 60);
		settings.put("gateways", this.layout.gateways());
		settings.put("maximumWaiting", 1000);
		settings.put("attemptLimitMillis", 1000);
		settings.put("drainMillis", 5000);
		return Json.write(settings);
	}

	String scheduler(int index) {
		Map<String, Object> settings = new TreeMap<>();
		settings.put("node", node("scheduler-", index, this.layout.schedulerPeer(index)));
		settings.put("operatorAddress", this.layout.operators(index).toString());
		settings.put("operators", List.of(Map.of("name", "demo", "token", CellProcesses.OPERATOR_TOKEN)));
		settings.put("sessionLapseMillis", this.sessionLapseMillis);
		settings.put("workerLeaseMillis", 4000);
		settings.put("drainMillis", 5000);
		return Json.write(settings);
	}

	private Map<String, Object> node(String prefix, int index, HostAddress peer) {
		Map<String, Object> node = new TreeMap<>();
		node.put("name", prefix + (index + 1));
		node.put("failureDomain", CellLayout.failureDomain(index));
		node.put("peerAddress", peer.toString());
		node.put("platform", this.relays.getOrDefault(index, this.layout.platform()).toString());
		node.put("peers", this.layout.peers());
		node.put("secret", SECRET);
		return node;
	}

}
