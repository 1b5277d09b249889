package org.monsoonrelay.logic.pool;

import java.util.Objects;

import org.monsoonrelay.model.host.HostAddress;

/**
 * The registration of a host of this system in the table. Stored as JSON. Immutable.
 *
 * @param host the host's name
 * @param failureDomain the host's failure domain
 * @param peerAddress address at which the host listens for peers, {@code host:port}
 * @param incarnation random id of the host's process
 * @param processors number of processors that the host may use; 0 if not known
 * @param linkMbps bandwidth of the host's link, megabits per second; 0 if not known
 * @param stopping whether the host's process is about to stop
 */
public record HostRecord(String host, String failureDomain, String peerAddress, String incarnation, double processors,
		double linkMbps, boolean stopping) {

	/**
	 * Creates the record of a host whose link bandwidth is not known.
	 * @param host the host's name
	 * @param failureDomain the host's failure domain
	 * @param peerAddress address at which the host listens for peers, {@code host:port}
	 * @param incarnation random id of the host's process
	 * @param processors number of processors that the host may use; 0 if not known
	 * @param stopping whether the host's process is about to stop
	 */
	public HostRecord(String host, String failureDomain, String peerAddress, String incarnation, double processors,
			boolean stopping) {
		this(host, failureDomain, peerAddress, incarnation, processors, 0, stopping);
	}

	/**
	 * Returns the resources that the host may use.
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
	 * Returns the record of the same process once it has been asked to stop.
	 * @return the record
	 */
	public HostRecord asStopping() {
		return new HostRecord(this.host, this.failureDomain, this.peerAddress, this.incarnation, this.processors,
				this.linkMbps, true);
	}

}
