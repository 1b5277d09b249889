package org.monsoonrelay.adapters.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;

/**
 * Counts what a process asks of the platform's table. Thread-safe.
 */
public final class MeteredTable implements TableService {

	private final TableService table;

	private final Counter reads;

	private final Counter commits;

	private final Counter rows;

	private final Counter failures;

	/**
	 * Count the calls to a table.
	 * @param table the table
	 * @param metrics where to count
	 */
	public MeteredTable(TableService table, MetricRegistry metrics) {
		this.table = table;
		this.reads = metrics.counter("table.reads");
		this.commits = metrics.counter("table.commits");
		this.rows = metrics.counter("table.rows.written");
		this.failures = metrics.counter("table.failures");
	}

	@Override
	public CompletableFuture<Optional<Row>> read(String key) {
		this.reads.inc();
		return watched(this.table.read(key));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		this.reads.inc();
		return watched(this.table.scan(prefix, after, limit));
	}

	@Override
	public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
		this.commits.inc();
		return watched(this.table.commit(writes)).whenComplete((result, failure) -> {
			if (result instanceof CommitResult.Committed) {
				this.rows.inc(writes.size());
			}
		});
	}

	private <T> CompletableFuture<T> watched(CompletableFuture<T> call) {
		return call.whenComplete((result, failure) -> {
			if (failure != null) {
				this.failures.inc();
			}
		});
	}

}
