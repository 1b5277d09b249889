package org.monsoonrelay.model.membership;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Lease row of one scheduler instance. It is alive while the row's version changes;
 * observers measure that with their own monotonic clocks. Immutable.
 *
 * @param session random identity of this start of the process
 * @param failureDomain the failure domain it stands in
 * @param peerAddress where peers reach it
 */
public record SessionRecord(String session, String failureDomain, HostAddress peerAddress) {

}
