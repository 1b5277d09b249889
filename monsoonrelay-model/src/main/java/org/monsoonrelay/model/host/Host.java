package org.monsoonrelay.model.host;

import org.monsoonrelay.model.capacity.Resources;

/**
 * One entry of the platform's host list. Immutable.
 *
 * @param name the name, stable over restarts
 * @param address where it listens
 * @param kind what it is for
 * @param incarnation identity of this start of the host; a replaced host has a new one
 * @param failureDomain the failure domain it stands in
 * @param rack the rack it stands in
 * @param service the service that a backend server serves, empty for workers
 * @param state its state as the list has it
 * @param capacity what a worker offers, nothing for backend servers
 */
public record Host(String name, HostAddress address, HostKind kind, String incarnation, String failureDomain,
		String rack, String service, HostState state, Resources capacity) {

}
