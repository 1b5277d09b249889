package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;

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
 */
public record OwnerRecord(String holder, String host, long epoch, long sequence, boolean released, List<String> workers,
		Map<String, List<String>> closed) {

	public OwnerRecord {
		workers = List.copyOf(workers);
		closed = (closed != null) ? Map.copyOf(closed) : Map.of();
	}

}
