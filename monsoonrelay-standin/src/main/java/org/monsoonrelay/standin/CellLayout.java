package org.monsoonrelay.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;

/**
 * Where the processes of one test cell listen: a loopback network of its own, so that
 * several cells can run side by side. Immutable.
 *
 * @param network second number of the loopback addresses, 1 to 254
 * @param gateways number of gateways
 * @param schedulers number of schedulers
 * @param workers number of workers
 * @param backendServers number of backend servers
 * @param service name of the service that the backend servers serve
 */
public record CellLayout(int network, int gateways, int schedulers, int workers, int backendServers, String service) {

	private static final List<String> FAILURE_DOMAINS = List.of("domain-a", "domain-b", "domain-c");

	private static final int FIRST_NETWORK = 20;

	private static final int NETWORKS = 200;

	private static final int HOLD_PORT = 9999;

	private static final List<ServerSocket> HELD = new CopyOnWriteArrayList<>();

	private static final int WORKERS_A_RACK = 8;

	private static final Resources WORKER_CAPACITY = new Resources(32, 131_072, 0);

	/**
	 * A layout on a loopback network that no other cell uses. The network is held until
	 * this process ends.
	 * @param gateways number of gateways
	 * @param schedulers number of schedulers
	 * @param workers number of workers
	 * @param backendServers number of backend servers
	 * @param service name of the service that the backend servers serve
	 * @return the layout
	 */
	public static CellLayout of(int gateways, int schedulers, int workers, int backendServers, String service) {
		int first = (int) (ProcessHandle.current().pid() % NETWORKS);
		for (int offset = 0; offset < NETWORKS; offset++) {
			int network = FIRST_NETWORK + (first + offset) % NETWORKS;
			if (hold(network)) {
				return new CellLayout(network, gateways, schedulers, workers, backendServers, service);
			}
		}
		throw new IllegalStateException("no loopback network is free");
	}

	private static boolean hold(int network) {
		try {
			HELD.add(new ServerSocket(HOLD_PORT, 1, InetAddress.getByName("127." + network + ".0.1")));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	static String failureDomain(int index) {
		return FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
	}

	HostAddress platform() {
		return address(1, 1, 9000);
	}

	HostAddress relay(int index) {
		return address(1, 10 + index, 9000);
	}

	HostAddress workerControl() {
		return address(2, 1, 9000);
	}

	HostAddress backendControl() {
		return address(3, 1, 9000);
	}

	HostAddress callers(int gateway) {
		return address(4, gateway + 1, 8080);
	}

	/**
	 * Where a gateway answers for its health and metrics.
	 * @param gateway the gateway's index
	 * @return the address
	 */
	public HostAddress gatewayAdmin(int gateway) {
		return address(4, gateway + 1, 8081);
	}

	/**
	 * Where a gateway listens for peers.
	 * @param gateway the gateway's index
	 * @return the address
	 */
	public HostAddress gatewayPeer(int gateway) {
		return address(4, gateway + 1, 8082);
	}

	/**
	 * Where a scheduler listens for operators.
	 * @param scheduler the scheduler's index
	 * @return the address
	 */
	public HostAddress operators(int scheduler) {
		return address(5, scheduler + 1, 8180);
	}

	HostAddress schedulerPeer(int scheduler) {
		return address(5, scheduler + 1, 8182);
	}

	List<String> peers() {
		List<String> peers = new ArrayList<>();
		for (int index = 0; index < this.gateways; index++) {
			peers.add(gatewayPeer(index).toString());
		}
		for (int index = 0; index < this.schedulers; index++) {
			peers.add(schedulerPeer(index).toString());
		}
		return peers;
	}

	List<Host> workerHosts() {
		List<Host> hosts = new ArrayList<>();
		for (int index = 0; index < this.workers; index++) {
			int rack = index / WORKERS_A_RACK;
			hosts.add(new Host("worker-" + (index + 1), address(2, 10 + index, 9100), HostKind.WORKER,
					UUID.randomUUID().toString(), failureDomain(rack), "rack-" + (rack + 1), "", HostState.LIVE,
					WORKER_CAPACITY));
		}
		return hosts;
	}

	List<Host> backendHosts() {
		List<Host> hosts = new ArrayList<>();
		for (int index = 0; index < this.backendServers; index++) {
			hosts.add(new Host("backend-" + (index + 1), address(3, 10 + index, 9200), HostKind.BACKEND_SERVER,
					UUID.randomUUID().toString(), failureDomain(index), "rack-" + (index + 1), this.service,
					HostState.LIVE, Resources.NONE));
		}
		return hosts;
	}

	private HostAddress address(int third, int fourth, int port) {
		return new HostAddress("127." + this.network + "." + third + "." + fourth, port);
	}

}
