package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.monsoonrelay.logic.platform.ExecutorCallback;
import org.monsoonrelay.logic.platform.PartitionReader;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.submission.JobTables;

/**
 * Reads the progress of jobs from the table after a take-over. The change feed alone does
 * not prove it: a feed may tell a version and show a change with a lower one later.
 * Invariant: what is delivered was read by calls that were sent after the request. Not
 * thread-safe: confined to the control thread.
 */
final class TakeOverProgressReader {

	/**
	 * Time after which a read is overdue, milliseconds. A slow table takes up to 900 ms.
	 */
	static final long OVERDUE_MILLIS = 1500;

	/** Delay after a failed read, milliseconds. */
	private static final long RETRY_MILLIS = 150;

	private final PartitionReader reader;

	private final ScheduledExecutorService control;

	TakeOverProgressReader(PartitionedTable table, ScheduledExecutorService control) {
		this.reader = new PartitionReader(table, JobTables.PROGRESS);
		this.control = control;
	}

	/**
	 * Reads the whole partition, or only the rows of the given jobs if that takes fewer
	 * calls. Retried until it succeeds.
	 * @param jobs the jobs that are not known to have ended
	 * @param knownRows number of rows that the partition has at least
	 * @param receiver receives the rows
	 */
	void read(Collection<String> jobs, int knownRows, Receiver receiver) {
		int pages = 1 + knownRows / PartitionReader.PAGE_ROWS;
		if (jobs.size() >= pages) {
			request(() -> this.reader.readAll(JobTables.POOL_PARTITION)
				.thenApply((partition) -> new Progress(partition.rows(), true)), receiver);
		}
		else {
			readJobs(List.copyOf(jobs), receiver);
		}
	}

	/**
	 * Reads the rows of jobs. Retried until it succeeds.
	 * @param jobs the jobs
	 * @param receiver receives the rows that exist
	 */
	void readJobs(Collection<String> jobs, Receiver receiver) {
		request(() -> this.reader.readRows(JobTables.POOL_PARTITION, jobs)
			.thenApply((rows) -> new Progress(rows, false)), receiver);
	}

	private void request(Supplier<CompletableFuture<Progress>> call, Receiver receiver) {
		ScheduledFuture<?> overdue = this.control.schedule(receiver::overdue, OVERDUE_MILLIS, TimeUnit.MILLISECONDS);
		retryUntilRead(call, receiver, overdue);
	}

	private void retryUntilRead(Supplier<CompletableFuture<Progress>> call, Receiver receiver,
			ScheduledFuture<?> overdue) {
		if (!receiver.isInterested()) {
			overdue.cancel(false);
			return;
		}
		call.get().whenComplete(ExecutorCallback.on(this.control, (progress, failure) -> {
			if (failure != null) {
				this.control.schedule(() -> retryUntilRead(call, receiver, overdue), RETRY_MILLIS,
						TimeUnit.MILLISECONDS);
				return;
			}
			overdue.cancel(false);
			if (receiver.isInterested()) {
				receiver.read(progress);
			}
		}));
	}

	/** Receives what was read, on the control thread. */
	interface Receiver {

		/**
		 * Whether the rows are still of use.
		 * @return {@code false} to end the reading
		 */
		boolean isInterested();

		/**
		 * Called once with the rows.
		 * @param progress the rows
		 */
		void read(Progress progress);

		/** Called if the rows are not read in time. They may be read later. */
		void overdue();

	}

	/**
	 * Rows of the table. Immutable.
	 *
	 * @param rows the rows that exist
	 * @param whole whether these are all rows of the partition
	 */
	record Progress(List<TableRow> rows, boolean whole) {

	}

}
