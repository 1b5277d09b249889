package org.monsoonrelay.standin;

import java.util.List;

import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Settings of one stand-in process. Immutable.
 *
 * @param role which stand-ins it holds
 * @param controlAddress where the platform listens, or where faults are switched and
 * counts read
 * @param platformAddress where the platform listens, for registration
 * @param hosts the workers or backend servers it holds
 * @param slots slots of each backend server
 * @param serviceMillis service time of a request in milliseconds
 * @param listLagMillis lag of the host list in milliseconds
 */
public record StandinSettings(Role role, HostAddress controlAddress, HostAddress platformAddress, List<Host> hosts,
		int slots, int serviceMillis, int listLagMillis) {

	public StandinSettings {
		hosts = (hosts != null) ? List.copyOf(hosts) : List.of();
	}

	/**
	 * Which stand-ins a process holds.
	 */
	public enum Role {

		/** Table service, object store and host list. */
		PLATFORM,

		/** Workers. */
		WORKERS,

		/** Backend servers. */
		BACKEND_SERVERS

	}

}
