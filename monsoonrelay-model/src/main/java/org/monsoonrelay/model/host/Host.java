package org.monsoonrelay.model.host;

import org.monsoonrelay.model.capacity.Resources;

/**
 * One entry of the platform's host list. Immutable.
 *
 * @param name name of the host, which stays the same across restarts
 * @param address address at which the host listens
 * @param kind kind of the host
 * @param incarnation incarnation of the host; a restarted or replaced host has a new one
 * @param failureDomain failure domain of the host
 * @param rack rack of the host
 * @param service service of a backend server, empty for workers
 * @param state state of the host according to the list
 * @param capacity capacity of a worker, zero for backend servers
 */
public record Host(String name, HostAddress address, HostKind kind, String incarnation, String failureDomain,
		String rack, String service, HostState state, Resources capacity) {

}
