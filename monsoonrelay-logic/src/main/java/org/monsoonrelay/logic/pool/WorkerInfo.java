package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.OptionalLong;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Description of a worker from the host list. A worker that restarts may keep its id.
 * Immutable.
 *
 * @param id the id of the worker
 * @param service the service that the worker belongs to
 * @param address address for requests, {@code host:port}
 * @param failureDomain the failure domain of the worker
 * @param capacity total capacity; processors in thousandths
 * @param labels the labels of the worker
 * @param rack the rack of the worker
 * @param draining whether the worker accepts no new work, because it is about to leave or
 * its list entry cannot be parsed
 * @param remainingMillis minimum time until a draining worker leaves, milliseconds
 * @param startedMillis when the incarnation of the worker that wrote the entry was
 * started, epoch milliseconds on the worker's clock; empty if the entry does not tell
 */
public record WorkerInfo(String id, String service, String address, String failureDomain, Resources capacity,
		List<String> labels, String rack, boolean draining, long remainingMillis, OptionalLong startedMillis) {

	public WorkerInfo {
		// Interned because ids are looked up for each pair of waiting task and worker:
		// comparing identical strings is much cheaper than comparing equal ones.
		id = id.intern();
		labels = List.copyOf(labels);
	}

	public WorkerInfo(String id, String service, String address, String failureDomain, Resources capacity,
			List<String> labels, String rack, boolean draining, long remainingMillis) {
		this(id, service, address, failureDomain, capacity, labels, rack, draining, remainingMillis,
				OptionalLong.empty());
	}

	/**
	 * Returns a copy of this description that is marked as draining.
	 * @return the draining worker
	 */
	public WorkerInfo asDraining() {
		return new WorkerInfo(this.id, this.service, this.address, this.failureDomain, this.capacity, this.labels,
				this.rack, true, this.remainingMillis, this.startedMillis);
	}

}
