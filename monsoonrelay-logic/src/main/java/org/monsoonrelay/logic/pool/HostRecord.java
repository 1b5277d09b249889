package org.monsoonrelay.logic.pool;

import java.util.Objects;

import org.monsoonrelay.model.host.HostAddress;

/**
 * A host of this system as it registers in the table. Immutable.
 *
 * @param host the host's name
 * @param failureDomain where it stands
 * @param peerAddress where it listens for peers, {@code host:port}
 * @param incarnation random id of its process
 * @param processors what the host may use of processors; 0 if it did not say
 * @param linkMbps what its link carries, megabits a second; 0 if it did not say
 * @param stopping whether its process is about to stop
 */
public record HostRecord(String host, String failureDomain, String peerAddress, String incarnation, double processors,
		double linkMbps, boolean stopping) {

	/**
	 * The record of a host whose link is not known.
	 * @param host the host's name
	 * @param failureDomain where it stands
	 * @param peerAddress where it listens for peers, {@code host:port}
	 * @param incarnation random id of its process
	 * @param processors what the host may use of processors; 0 if it did not say
	 * @param stopping whether its process is about to stop
	 */
	public HostRecord(String host, String failureDomain, String peerAddress, String incarnation, double processors,
			boolean stopping) {
		this(host, failureDomain, peerAddress, incarnation, processors, 0, stopping);
	}

	/**
	 * What the host may use.
	 * @return its size
	 */
	HostSize size() {
		return new HostSize(this.processors, this.linkMbps);
	}

	public HostRecord {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(incarnation, "incarnation");
		HostAddress.parse(peerAddress);
	}

	/**
	 * The record of the same process once it has been told to stop.
	 * @return the record
	 */
	public HostRecord asStopping() {
		return new HostRecord(this.host, this.failureDomain, this.peerAddress, this.incarnation, this.processors,
				this.linkMbps, true);
	}

}
