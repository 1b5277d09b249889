package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Decorates a table with a callback for each response, as evidence that the table is
 * reachable. A rejected write does not count as a response. Thread-safe if the table is.
 */
public final class ObservedTable implements PartitionedTable {

	private final PartitionedTable table;

	private final Runnable onResponse;

	/**
	 * Decorate a table.
	 * @param table the table
	 * @param onResponse called on the threads of the table after each response
	 */
	public ObservedTable(PartitionedTable table, Runnable onResponse) {
		this.table = table;
		this.onResponse = onResponse;
	}

	@Override
	public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
		return this.table.commit(write).whenComplete((commit, failure) -> {
			if (commit instanceof PartitionCommit.Committed || commit instanceof PartitionCommit.Conflict
					|| commit instanceof PartitionCommit.Rejected) {
				this.onResponse.run();
			}
		});
	}

	@Override
	public CompletableFuture<TablePage> read(String name, String partition, String from, int limit) {
		return observe(this.table.read(name, partition, from, limit));
	}

	@Override
	public CompletableFuture<TableChanges> changes(String name, long after, Duration wait) {
		return observe(this.table.changes(name, after, wait));
	}

	private <T> CompletableFuture<T> observe(CompletableFuture<T> answer) {
		return answer.whenComplete((value, failure) -> {
			if (failure == null) {
				this.onResponse.run();
			}
		});
	}

}
