package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Follows a table: reads each partition whole, waits for changes from the first answer of
 * these reads on, and reads all again when the history of changes is lost. A partition
 * whose read is older than that answer is read again. A partition that does not answer
 * holds up neither the others nor the changes. The listener sees every change in order,
 * or a snapshot of its partition that contains it; a change may come before the snapshot
 * of its partition. Confined to the executor that it is given, on which the listener is
 * called.
 */
public final class TableFollower {

	/**
	 * How long one call waits for a change, milliseconds. A connection that went silent
	 * is found out after this and the client's grace, well within the two seconds in
	 * which a change has to be in force.
	 */
	private static final long WAIT_MILLIS = 900;

	/**
	 * Pause after a failed call, milliseconds; bounds the calls to a service that is
	 * down.
	 */
	private static final long RETRY_MILLIS = 150;

	private static final int PAGE_ROWS = 500;

	private final PartitionedTable table;

	private final String name;

	private final List<String> partitions;

	private final Supplier<Duration> spacing;

	private final ScheduledExecutorService executor;

	private final Listener listener;

	private long version;

	private long followedFrom;

	private int generation;

	private boolean following;

	private ScheduledFuture<?> pause;

	private boolean closed;

	private boolean failing;

	private boolean latestOnly;

	/**
	 * Create a follower.
	 * @param table the service
	 * @param name the table to follow
	 * @param partitions its partitions
	 * @param spacing the least time between two calls that brought changes, so that many
	 * small changes arrive together
	 * @param executor a single thread
	 * @param listener told of rows
	 */
	public TableFollower(PartitionedTable table, String name, List<String> partitions, Duration spacing,
			ScheduledExecutorService executor, Listener listener) {
		this(table, name, partitions, () -> spacing, executor, listener);
	}

	/**
	 * Create a follower whose spacing varies.
	 * @param table the service
	 * @param name the table to follow
	 * @param partitions its partitions
	 * @param spacing tells the least time between two calls that brought changes
	 * @param executor a single thread
	 * @param listener told of rows
	 */
	public TableFollower(PartitionedTable table, String name, List<String> partitions, Supplier<Duration> spacing,
			ScheduledExecutorService executor, Listener listener) {
		this.table = table;
		this.name = name;
		this.partitions = List.copyOf(partitions);
		this.spacing = spacing;
		this.executor = executor;
		this.listener = listener;
	}

	/**
	 * After a pause tell of rows as they are then, without what was written and replaced
	 * in it. Spares the history of a table of few rows that are written all the while; a
	 * row that was dropped in a pause is not told.
	 * @return this follower, which has not begun
	 * @throws IllegalStateException if it follows several partitions
	 */
	public TableFollower latestOnly() {
		if (this.partitions.size() > 1) {
			throw new IllegalStateException("the latest rows are those of one partition");
		}
		this.latestOnly = true;
		return this;
	}

	/**
	 * Begin to follow.
	 */
	public void start() {
		this.executor.execute(this::load);
	}

	/**
	 * Stop following; the listener may hear of one more answer under way.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Read now what has changed so far, and tell the listener before the caller. Tried
	 * until it succeeds; without effect before the first partition is loaded. The
	 * listener may hear of some of these changes twice. A pause between two calls ends.
	 * @param done called once all changes up to this call have been told
	 */
	public void catchUp(Runnable done) {
		if (this.closed || !this.following) {
			return;
		}
		int ofGeneration = this.generation;
		changesSoFar().whenComplete(ExecutorCallback.on(this.executor, (changes, failure) -> {
			if (ofGeneration != this.generation) {
				return;
			}
			if (failure != null || changes.historyLost()) {
				this.executor.schedule(() -> catchUp(done), RETRY_MILLIS, TimeUnit.MILLISECONDS);
				return;
			}
			this.version = Math.max(this.version, changes.version());
			this.listener.changed(changes.rows());
			if (changes.more()) {
				catchUp(done);
				return;
			}
			done.run();
			if (this.pause != null && this.pause.cancel(false)) {
				follow();
			}
		}));
	}

	private void load() {
		if (this.closed) {
			return;
		}
		this.generation++;
		this.following = false;
		this.partitions.forEach((partition) -> load(partition, this.generation));
	}

	private void load(String partition, int ofGeneration) {
		if (this.closed || ofGeneration != this.generation) {
			return;
		}
		read(partition, "", new PartitionRows(new ArrayList<>(), Long.MAX_VALUE))
			.whenComplete(ExecutorCallback.on(this.executor, (loaded, failure) -> {
				if (this.closed || ofGeneration != this.generation) {
					return;
				}
				if (failure != null) {
					failed(failure, () -> load(partition, ofGeneration));
					return;
				}
				answered();
				boolean isFirst = !this.following;
				if (isFirst) {
					this.following = true;
					this.version = loaded.version();
					this.followedFrom = loaded.version();
				}
				// A read that was carried out before that one, but answered later, may
				// miss
				// what changed between the two.
				if (loaded.version() < this.followedFrom) {
					load(partition, ofGeneration);
					return;
				}
				this.listener.snapshot(partition, loaded.rows());
				if (isFirst) {
					follow();
				}
			}));
	}

	private CompletableFuture<PartitionRows> read(String partition, String from, PartitionRows loaded) {
		return this.table.read(this.name, partition, from, PAGE_ROWS).thenCompose((page) -> {
			loaded.rows().addAll(page.rows());
			PartitionRows more = new PartitionRows(loaded.rows(), Math.min(loaded.version(), page.version()));
			if (!page.truncated() || page.rows().isEmpty()) {
				return CompletableFuture.completedFuture(more);
			}
			return read(partition, page.rows().get(page.rows().size() - 1).key() + "!", more);
		});
	}

	private void follow() {
		ask(() -> this.table.changes(this.name, this.version, Duration.ofMillis(WAIT_MILLIS)));
	}

	private void followAfterPause() {
		if (this.latestOnly) {
			ask(this::latest);
		}
		else {
			follow();
		}
	}

	private void ask(Supplier<CompletableFuture<TableChanges>> question) {
		if (this.closed) {
			return;
		}
		question.get().whenComplete(ExecutorCallback.on(this.executor, (changes, failure) -> {
			if (failure != null) {
				failed(failure, () -> ask(question));
				return;
			}
			answered();
			take(changes);
		}));
	}

	private CompletableFuture<TableChanges> changesSoFar() {
		return this.latestOnly ? latest() : this.table.changes(this.name, this.version, Duration.ZERO);
	}

	private CompletableFuture<TableChanges> latest() {
		long known = this.version;
		return read(this.partitions.get(0), "", new PartitionRows(new ArrayList<>(), Long.MAX_VALUE))
			.thenApply((latest) -> {
				List<TableRow> newer = latest.rows().stream().filter((row) -> row.version() > known).toList();
				// Without a change the feed is asked next, which tells of a dropped row.
				return new TableChanges(newer, newer.isEmpty() ? known : latest.version(), false, false);
			});
	}

	private void take(TableChanges changes) {
		if (changes.historyLost()) {
			this.listener.historyLost();
			load();
			return;
		}
		this.version = Math.max(this.version, changes.version());
		if (changes.rows().isEmpty()) {
			follow();
			return;
		}
		this.listener.changed(changes.rows());
		if (changes.more()) {
			// A pause between cut answers lets a follower fall behind without end.
			follow();
			return;
		}
		this.pause = this.executor.schedule(this::followAfterPause, this.spacing.get().toMillis(),
				TimeUnit.MILLISECONDS);
	}

	private void answered() {
		if (this.failing) {
			this.failing = false;
			this.listener.onAvailable();
		}
	}

	private void failed(Throwable failure, Runnable again) {
		if (!this.failing) {
			this.failing = true;
			this.listener.onUnavailable(failure);
		}
		this.executor.schedule(again, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private record PartitionRows(List<TableRow> rows, long version) {

	}

	/**
	 * Told of a followed table, on the follower's executor.
	 */
	public interface Listener {

		/**
		 * All rows of a partition, in place of all that was known of it.
		 * @param partition the partition
		 * @param rows the rows that exist
		 */
		void snapshot(String partition, List<TableRow> rows);

		/**
		 * Rows that changed.
		 * @param rows the rows in the order of their versions
		 */
		void changed(List<TableRow> rows);

		/**
		 * Calls have begun to fail.
		 * @param failure the first failure
		 */
		default void onUnavailable(Throwable failure) {
		}

		/**
		 * Calls succeed again.
		 */
		default void onAvailable() {
		}

		/**
		 * Changes were missed; snapshots of all partitions follow.
		 */
		default void historyLost() {
		}

	}

}
