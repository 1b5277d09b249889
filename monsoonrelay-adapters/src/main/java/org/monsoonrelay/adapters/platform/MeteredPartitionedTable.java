package org.monsoonrelay.adapters.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.logging.SlidingWindowHistograms;
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

	private final Counter committed;

	private final Counter conflicts;

	private final Counter rejected;

	private final Counter notDone;

	private final Counter unknown;

	private final Histogram commits;

	private final Histogram reads;

	private final Calls readCalls;

	private final Calls changeCalls;

	private final LongSupplier nanoTime;

	/**
	 * Count the calls to a table.
	 * @param table the table
	 * @param metrics where to count
	 * @param nanoTime the steady clock
	 */
	public MeteredPartitionedTable(PartitionedTable table, MetricRegistry metrics, LongSupplier nanoTime) {
		this.table = table;
		this.committed = metrics.counter("table.commits.Committed");
		this.conflicts = metrics.counter("table.commits.Conflict");
		this.rejected = metrics.counter("table.commits.Rejected");
		this.notDone = metrics.counter("table.commits.NotDone");
		this.unknown = metrics.counter("table.commits.Unknown");
		this.commits = SlidingWindowHistograms.getOrCreate(metrics, "table.commit.millis");
		this.reads = SlidingWindowHistograms.getOrCreate(metrics, "table.read.millis");
		this.readCalls = Calls.of(metrics, "table.reads.");
		this.changeCalls = Calls.of(metrics, "table.changes.");
		this.nanoTime = nanoTime;
	}

	@Override
	public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
		long begun = this.nanoTime.getAsLong();
		return this.table.commit(write).whenComplete((commit, failure) -> {
			this.commits.update(millisSince(begun));
			counter(commit).inc();
		});
	}

	private Counter counter(PartitionCommit commit) {
		if (commit instanceof PartitionCommit.Committed) {
			return this.committed;
		}
		if (commit instanceof PartitionCommit.Conflict) {
			return this.conflicts;
		}
		if (commit instanceof PartitionCommit.Rejected) {
			return this.rejected;
		}
		return (commit instanceof PartitionCommit.NotDone) ? this.notDone : this.unknown;
	}

	private long millisSince(long begun) {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoTime.getAsLong() - begun);
	}

	@Override
	public CompletableFuture<TablePage> read(String name, String partition, String from, int limit) {
		long begun = this.nanoTime.getAsLong();
		return this.table.read(name, partition, from, limit).whenComplete((page, failure) -> {
			this.reads.update(millisSince(begun));
			this.readCalls.count(failure);
		});
	}

	@Override
	public CompletableFuture<TableChanges> changes(String name, long after, Duration wait) {
		return this.table.changes(name, after, wait)
			.whenComplete((changes, failure) -> this.changeCalls.count(failure));
	}

	private record Calls(Counter answered, Counter failed) {

		static Calls of(MetricRegistry metrics, String name) {
			return new Calls(metrics.counter(name + "answered"), metrics.counter(name + "failed"));
		}

		void count(Throwable failure) {
			((failure != null) ? this.failed : this.answered).inc();
		}

	}

}
