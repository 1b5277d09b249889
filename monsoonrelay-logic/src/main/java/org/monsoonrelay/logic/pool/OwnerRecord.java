package org.monsoonrelay.logic.pool;

import java.util.List;

/**
 * The row that says who owns the pool. Immutable.
 *
 * @param holder random id of the owner's process
 * @param host the owner's host
 * @param epoch grows with each change of owner; the fencing token of its orders
 * @param sequence grows with each write of the owner
 * @param released whether the owner has given the pool up
 * @param workers ids of the workers on which something may run by an owner's order; an
 * owner starts nothing on a worker before this row names it
 */
public record OwnerRecord(String holder, String host, long epoch, long sequence, boolean released,
		List<String> workers) {

	public OwnerRecord {
		workers = List.copyOf(workers);
	}

}
