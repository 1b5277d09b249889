package org.monsoonrelay.adapters.peer;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Who a peer says it is. Immutable.
 *
 * @param session random identity of this start of the process
 * @param role gateway or scheduler
 * @param failureDomain the failure domain it stands in
 * @param address where it listens for peers
 */
public record PeerIdentity(String session, String role, String failureDomain, HostAddress address) {

}
