package org.monsoonrelay.adapters.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TablePage;

/**
 * Counts what a process asks of the platform's table, by outcome, and times it.
 * Thread-safe.
 */
public final class MeteredPartitionedTable implements PartitionedTable {

	private final PartitionedTable table;

	private final MetricRegistry metrics;

	private final Timer commits;

	private final Timer reads;

	private final LongSupplier nanoTime;

	/**
	 * Count the calls to a table.
	 * @param table the table
	 * @param metrics where to count
	 * @param nanoTime the steady clock
	 */
	public MeteredPartitionedTable(PartitionedTable table, MetricRegistry metrics, LongSupplier nanoTime) {
		this.table = table;
		this.metrics = metrics;
		this.commits = metrics.timer("table.commit");
		this.reads = metrics.timer("table.read");
		this.nanoTime = nanoTime;
	}

	@Override
	public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
		long begun = this.nanoTime.getAsLong();
		return this.table.commit(write).whenComplete((commit, failure) -> {
			this.commits.update(this.nanoTime.getAsLong() - begun, TimeUnit.NANOSECONDS);
			String outcome = (commit != null) ? commit.getClass().getSimpleName() : "Unknown";
			this.metrics.counter("table.commits." + outcome).inc();
		});
	}

	@Override
	public CompletableFuture<TablePage> read(String name, String partition, String from, int limit) {
		long begun = this.nanoTime.getAsLong();
		return this.table.read(name, partition, from, limit).whenComplete((page, failure) -> {
			this.reads.update(this.nanoTime.getAsLong() - begun, TimeUnit.NANOSECONDS);
			count("table.reads.", failure);
		});
	}

	@Override
	public CompletableFuture<TableChanges> changes(String name, long after, Duration wait) {
		return this.table.changes(name, after, wait)
			.whenComplete((changes, failure) -> count("table.changes.", failure));
	}

	private void count(String call, Throwable failure) {
		this.metrics.counter(call + ((failure != null) ? "failed" : "answered")).inc();
	}

}
