package org.monsoonrelay.standin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings files of a test cell's daemons. Stateless and thread-safe.
 */
final class CellSettings {

	private static final String SECRET = "cell-secret";

	private CellSettings() {
	}

	static String gateway(CellLayout layout, int index) {
		Map<String, Object> settings = new TreeMap<>();
		settings.put("node", node(layout, "gateway-" + (index + 1), index, layout.gatewayPeer(index)));
		settings.put("callerAddress", layout.callers(index).toString());
		settings.put("adminAddress", layout.gatewayAdmin(index).toString());
		settings.put("slotsPerBackendServer", 8);
		settings.put("connectionsPerBackendServer", 60);
		settings.put("gateways", layout.gateways());
		settings.put("maximumWaiting", 1000);
		settings.put("attemptLimitMillis", 1000);
		settings.put("drainMillis", 5000);
		return Json.write(settings);
	}

	static String scheduler(CellLayout layout, int index, int sessionLapseMillis) {
		Map<String, Object> settings = new TreeMap<>();
		settings.put("node", node(layout, "scheduler-" + (index + 1), index, layout.schedulerPeer(index)));
		settings.put("operatorAddress", layout.operators(index).toString());
		settings.put("operators", List.of(Map.of("name", "demo", "token", CellProcesses.OPERATOR_TOKEN)));
		settings.put("sessionLapseMillis", sessionLapseMillis);
		settings.put("workerLeaseMillis", 4000);
		settings.put("drainMillis", 5000);
		return Json.write(settings);
	}

	private static Map<String, Object> node(CellLayout layout, String name, int index, HostAddress peer) {
		Map<String, Object> node = new TreeMap<>();
		node.put("name", name);
		node.put("failureDomain", CellLayout.failureDomain(index));
		node.put("peerAddress", peer.toString());
		node.put("platform", layout.platform().toString());
		node.put("peers", layout.peers());
		node.put("secret", SECRET);
		return node;
	}

}
