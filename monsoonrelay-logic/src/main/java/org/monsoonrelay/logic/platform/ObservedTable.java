package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A table that tells of each answer it gives. A write that the table turned down is no
 * answer in this sense. Thread-safe if the table is.
 */
public final class ObservedTable implements PartitionedTable {

	private final PartitionedTable table;

	private final Runnable answered;

	/**
	 * Observe a table.
	 * @param table the table
	 * @param answered called on the table's threads after each answer
	 */
	public ObservedTable(PartitionedTable table, Runnable answered) {
		this.table = table;
		this.answered = answered;
	}

	@Override
	public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
		return this.table.commit(write).whenComplete((commit, failure) -> {
			if (commit instanceof PartitionCommit.Committed || commit instanceof PartitionCommit.Conflict) {
				this.answered.run();
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
				this.answered.run();
			}
		});
	}

}
