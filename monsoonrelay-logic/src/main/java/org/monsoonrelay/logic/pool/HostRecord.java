package org.monsoonrelay.logic.pool;

/**
 * A host of this system as it registers in the table. Immutable.
 *
 * @param host the host's name
 * @param failureDomain where it stands
 * @param peerAddress where its scheduler listens for peers, {@code host:port}
 * @param gatewayAddress where its gateway listens for peers, {@code host:port}
 * @param incarnation random id of the scheduler's start
 */
public record HostRecord(String host, String failureDomain, String peerAddress, String gatewayAddress,
		String incarnation) {

}
