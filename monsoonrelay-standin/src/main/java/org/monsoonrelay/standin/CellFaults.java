package org.monsoonrelay.standin;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Switches the faults of a cell's stand-ins. Each call returns once the switch is set.
 * Thread-safe.
 */
public final class CellFaults {

	private final CellLayout layout;

	CellFaults(CellLayout layout) {
		this.layout = layout;
	}

	/**
	 * Set the platform's fault.
	 * @param fault the fault, which replaces the last one
	 */
	public void platform(PlatformFault fault) {
		post(this.layout.platform(), "/control/fault", Json.write(fault));
	}

	/**
	 * Set a worker's fault.
	 * @param worker the worker's name
	 * @param fault the fault, which replaces the last one
	 */
	public void worker(String worker, WorkerFault fault) {
		post(this.layout.workerControl(), "/control/fault?name=" + worker, Json.write(fault));
	}

	/**
	 * Set a backend server's fault.
	 * @param server the backend server's name
	 * @param fault the fault, which replaces the last one
	 */
	public void backendServer(String server, BackendFault fault) {
		post(this.layout.backendControl(), "/control/fault?name=" + server, Json.write(fault));
	}

	/**
	 * Set the same fault at all backend servers.
	 * @param fault the fault, which replaces the last one
	 */
	public void allBackendServers(BackendFault fault) {
		this.layout.backendHosts().forEach((host) -> backendServer(host.name(), fault));
	}

	/**
	 * Mark a host as leaving in the platform's list, which shows it after its lag.
	 * @param host the host's name
	 */
	public void leaving(String host) {
		post(this.layout.platform(), "/control/leaving?name=" + host, "");
	}

	/**
	 * Take a host from the platform's list, which shows it after its lag.
	 * @param host the host's name
	 */
	public void remove(String host) {
		post(this.layout.platform(), "/control/remove?name=" + host, "");
	}

	private static void post(HostAddress address, String path, String body) {
		int status = Calls.post(address.url() + path, body).statusCode();
		if (status != 200) {
			throw new IllegalStateException("fault was not set: " + path + " answered " + status);
		}
	}

}
