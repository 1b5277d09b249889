package org.monsoonrelay.logic.pool;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;

/**
 * A worker as the host list describes it. One life of the worker has one id. Immutable.
 *
 * @param id the id of this life
 * @param service the service that it belongs to
 * @param address where it takes orders, {@code host:port}
 * @param failureDomain where it stands
 * @param capacity what it offers; processors in thousandths
 * @param labels its labels
 * @param rack the rack that it stands in
 * @param draining whether it takes no new work, as it is about to leave or what is said
 * of it cannot be read
 * @param remainingMillis least time until it leaves, milliseconds, if it drains
 */
public record WorkerInfo(String id, String service, String address, String failureDomain, Resources capacity,
		List<String> labels, String rack, boolean draining, long remainingMillis) {

	public WorkerInfo {
		// One string for each id: an owner looks ids up for each waiting task of each
		// worker, and finding the same string is much cheaper than an equal one.
		id = id.intern();
		labels = List.copyOf(labels);
	}

	/**
	 * The same worker, taking no new work.
	 * @return the worker as if it were about to leave
	 */
	public WorkerInfo asDraining() {
		return new WorkerInfo(this.id, this.service, this.address, this.failureDomain, this.capacity, this.labels,
				this.rack, true, this.remainingMillis);
	}

}
