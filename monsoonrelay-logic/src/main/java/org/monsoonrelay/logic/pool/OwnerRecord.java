package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The row that says who owns the pool. Immutable.
 *
 * @param holder random id of the owner's process
 * @param host the owner's host
 * @param epoch grows with each change of owner; the fencing token of its orders
 * @param sequence grows with each write of the owner
 * @param released whether the owner has given the pool up
 * @param workers ids of the workers on which an owner may have started anything; an owner
 * starts nothing on a worker before this row names it here
 * @param closed tasks that may run on workers which do not answer or are leaving, by the
 * worker's id; nothing else was started there
 * @param largest the size of the largest host, beside which far smaller ones leave the
 * pool to others
 * @param standbys the hosts that stand ready to own the pool next
 * @param confirming whether the owner starts no job whose row is younger than this one,
 * until it has written this row again
 */
public record OwnerRecord(String holder, String host, long epoch, long sequence, boolean released, List<String> workers,
		Map<String, List<String>> closed, HostSize largest, List<String> standbys, boolean confirming) {

	/** No epoch is this low. */
	static final long NO_EPOCH = 0;

	/** The record of a pool that was never owned. */
	static final OwnerRecord NEVER_OWNED = new OwnerRecord("", "", NO_EPOCH, 0, true, List.of(), Map.of(),
			HostSize.UNKNOWN, List.of(), true);

	public OwnerRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(host, "host");
		workers = List.copyOf(workers);
		closed = (closed != null) ? Map.copyOf(closed) : Map.of();
		largest = (largest != null) ? largest : HostSize.UNKNOWN;
		standbys = (standbys != null) ? List.copyOf(standbys) : List.of();
	}

	/**
	 * The record with which a host takes the pool over.
	 * @param next the host
	 * @return the record
	 */
	OwnerRecord takenOverBy(HostRecord next) {
		return new OwnerRecord(next.incarnation(), next.host(), this.epoch + 1, 1, false, this.workers, this.closed,
				HostSize.largest(List.of(this.largest, next.size())), this.standbys, this.confirming);
	}

}
