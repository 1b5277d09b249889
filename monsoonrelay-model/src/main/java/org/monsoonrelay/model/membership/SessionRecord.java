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

	/**
	 * The record of a session that has ended. Its row may be used by another session.
	 * @return the record, which stands in no failure domain
	 */
	public SessionRecord asEnded() {
		return new SessionRecord(this.session, "", this.peerAddress);
	}

	/**
	 * Tell whether the session has ended.
	 * @return {@code true} for what {@link #asEnded()} gives
	 */
	public boolean hasEnded() {
		return this.failureDomain.isEmpty();
	}

}
