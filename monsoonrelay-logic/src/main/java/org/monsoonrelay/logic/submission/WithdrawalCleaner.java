package org.monsoonrelay.logic.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.ProcessDecision;
import org.monsoonrelay.logic.platform.ExecutorCallback;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;

/**
 * Removes withdrawals that no submission can meet any more. Each host visits one
 * partition after another. Invariants: a row is removed only if the visit before found it
 * in the same version, so that it is at least {@link #MIN_AGE_MILLIS} old; a row that was
 * written again since is kept. Not thread-safe: confined to its executor.
 */
public final class WithdrawalCleaner {

	/** Interval between the visits of two partitions, milliseconds. */
	static final long VISIT_INTERVAL_MILLIS = 10_000;

	/**
	 * Age that each removed row has at least, milliseconds: a visit of all partitions. A
	 * write takes effect some seconds late; a caller's repetition may come later.
	 */
	static final long MIN_AGE_MILLIS = VISIT_INTERVAL_MILLIS * JobTables.partitions().size();

	/** Rows that are read at once. */
	private static final int PAGE_ROWS = 500;

	/** Rows that are removed at once: a transaction takes 100 entries, two for each. */
	private static final int MAX_ROWS_PER_WRITE = 50;

	private static final String AFTER_KEY = "\u0000";

	private final PartitionedTable table;

	private final ScheduledExecutorService executor;

	private final DecisionLog log;

	private final List<String> partitions = JobTables.partitions();

	// By partition, the versions of the rows that the last visit found, by key.
	private final Map<String, Map<String, Long>> found = new HashMap<>();

	private int nextPartition;

	/**
	 * Creates a cleaner that does nothing yet.
	 * @param table where withdrawals are stored
	 * @param executor a single thread
	 * @param log receives decisions
	 */
	public WithdrawalCleaner(PartitionedTable table, ScheduledExecutorService executor, DecisionLog log) {
		this.table = table;
		this.executor = executor;
		this.log = log;
	}

	/** Starts to visit the partitions. */
	public void start() {
		this.executor.scheduleWithFixedDelay(this::visitNext, VISIT_INTERVAL_MILLIS, VISIT_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void visitNext() {
		String partition = this.partitions.get(this.nextPartition);
		this.nextPartition = (this.nextPartition + 1) % this.partitions.size();
		visit(partition, "", new HashMap<>());
	}

	private void visit(String partition, String from, Map<String, Long> seen) {
		this.table.read(JobTables.WITHDRAWALS, partition, from, PAGE_ROWS)
			.whenComplete(ExecutorCallback.on(this.executor, (page, failure) -> {
				if (failure == null) {
					handlePage(partition, page, seen);
				}
			}));
	}

	private void handlePage(String partition, TablePage page, Map<String, Long> seen) {
		Map<String, Long> before = this.found.getOrDefault(partition, Map.of());
		List<TableRow> old = new ArrayList<>();
		for (TableRow row : page.rows()) {
			seen.put(row.key(), row.version());
			if (Long.valueOf(row.version()).equals(before.get(row.key()))) {
				old.add(row);
			}
		}
		for (int i = 0; i < old.size(); i += MAX_ROWS_PER_WRITE) {
			remove(partition, old.subList(i, Math.min(old.size(), i + MAX_ROWS_PER_WRITE)));
		}
		if (page.truncated() && !page.rows().isEmpty()) {
			visit(partition, page.rows().get(page.rows().size() - 1).key() + AFTER_KEY, seen);
		}
		else {
			this.found.put(partition, seen);
		}
	}

	// Rows that another host removes meanwhile make this a conflict; those that are left
	// are found by the next visit.
	private void remove(String partition, List<TableRow> rows) {
		PartitionWrite write = PartitionWrite.to(partition);
		for (TableRow row : rows) {
			write = write.onVersion(JobTables.WITHDRAWALS, row.key(), row.version())
				.remove(JobTables.WITHDRAWALS, row.key());
		}
		this.table.commit(write).whenComplete(ExecutorCallback.on(this.executor, (commit, failure) -> {
			if (commit instanceof PartitionCommit.Committed) {
				this.log.write(new ProcessDecision.WithdrawalsRemoved(partition, rows.size()));
			}
		}));
	}

}
