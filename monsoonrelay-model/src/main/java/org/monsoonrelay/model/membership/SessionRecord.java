package org.monsoonrelay.model.membership;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Lease row of one scheduler instance. The instance is considered alive while the version
 * of the row changes, which observers measure with their own monotonic clocks. Immutable.
 *
 * @param session random identity of this incarnation of the process
 * @param failureDomain failure domain of the instance
 * @param peerAddress address at which peers reach the instance
 */
public record SessionRecord(String session, String failureDomain, HostAddress peerAddress) {

	/**
	 * Record of this session after its end. Another session may reuse its row.
	 * @return the record, with an empty failure domain
	 */
	public SessionRecord asEnded() {
		return new SessionRecord(this.session, "", this.peerAddress);
	}

	/**
	 * Whether the session has ended.
	 * @return {@code true} for records that {@link #asEnded()} returns
	 */
	public boolean hasEnded() {
		return this.failureDomain.isEmpty();
	}

}
