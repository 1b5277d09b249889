package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Follows a table by change feed. It reads every partition in full, polls for changes
 * from the version of the first completed read on, and reads all partitions again if the
 * change history is lost. A partition read at an older version than that is read again. A
 * partition that does not answer delays neither the other partitions nor the changes.
 * After a failed poll the next one does not wait, so that a connection without an answer
 * is noticed sooner. An answer with changes seldom shows that no others follow: the
 * follower asks until that is shown about once a second, see {@link FeedCompleteness}.
 * The listener receives every change in order, or a snapshot of its partition that
 * contains it; a change may arrive before the snapshot of its partition. Confined to the
 * given executor, on which the listener is called.
 */
public final class TableFollower {

	/**
	 * Delay after a failed call, milliseconds; limits the rate of calls to a service that
	 * is down.
	 */
	private static final long RETRY_MILLIS = 150;

	private static final long ALL_CHANGES = Long.MAX_VALUE;

	private static final long NOT_A_POLL = -1;

	private final PartitionedTable table;

	private final PartitionReader reader;

	private final FeedCompleteness completeness;

	private final String name;

	private final List<String> partitions;

	private final Supplier<Duration> minimumInterval;

	private final ScheduledExecutorService executor;

	private final Listener listener;

	private long version;

	private long followedFromVersion;

	private int loadGeneration;

	private boolean following;

	private ScheduledFuture<?> pause;

	private boolean closed;

	private boolean failing;

	private boolean latestOnly;

	private boolean confirmsChanges;

	/**
	 * Create a follower with a fixed spacing, see the other constructor.
	 * @param table the service
	 * @param name the table to follow
	 * @param partitions its partitions
	 * @param minimumInterval the minimum time between two calls that returned changes
	 * @param executor a single thread
	 * @param listener receives the rows
	 */
	public TableFollower(PartitionedTable table, String name, List<String> partitions, Duration minimumInterval,
			ScheduledExecutorService executor, Listener listener) {
		this(table, name, partitions, () -> minimumInterval, executor, listener);
	}

	/**
	 * Create a follower whose spacing varies.
	 * @param table the service
	 * @param name the table to follow
	 * @param partitions its partitions
	 * @param minimumInterval supplies the minimum time between two calls that returned
	 * changes, so that small changes are batched
	 * @param executor a single thread
	 * @param listener receives the rows
	 */
	public TableFollower(PartitionedTable table, String name, List<String> partitions,
			Supplier<Duration> minimumInterval, ScheduledExecutorService executor, Listener listener) {
		this.table = table;
		this.reader = new PartitionReader(table, name);
		this.completeness = new FeedCompleteness(executor, () -> this.reader.readVersion(partitions.get(0)));
		this.name = name;
		this.partitions = List.copyOf(partitions);
		this.minimumInterval = minimumInterval;
		this.executor = executor;
		this.listener = listener;
	}

	/**
	 * After a pause, deliver only the latest version of each row, without the versions
	 * replaced during the pause. This saves transferring the history of a table with few
	 * rows that are written continuously. A row deleted during a pause is not reported.
	 * @return this follower, which must not have been started
	 * @throws IllegalStateException if it follows several partitions
	 */
	public TableFollower latestOnly() {
		if (this.partitions.size() > 1) {
			throw new IllegalStateException("latestOnly requires a single partition");
		}
		this.latestOnly = true;
		return this;
	}

	/**
	 * After changes, poll once without waiting, so that the listener soon learns whether
	 * there are any others: an answer with changes may have been held up on the way. This
	 * is one more call for each change, for tables that seldom change.
	 * @return this follower, which must not have been started
	 */
	public TableFollower confirmChanges() {
		this.confirmsChanges = true;
		return this;
	}

	/** Start following. */
	public void start() {
		this.executor.execute(this::loadPartitions);
	}

	/**
	 * Stop following. The listener receives nothing from now on, also no response to a
	 * call in flight: it may follow the table again through another follower.
	 */
	public void close() {
		this.closed = true;
		this.completeness.reset();
	}

	/**
	 * Read all changes up to now and deliver them to the listener before the callback is
	 * called. Retried until it succeeds; has no effect before the first partition is
	 * loaded. The listener may receive some of these changes twice. Ends a pause between
	 * two calls.
	 * @param done called once all changes up to this call have been delivered
	 */
	public void catchUp(Consumer<CatchUp> done) {
		catchUp(ALL_CHANGES, done);
	}

	/**
	 * Like {@link #catchUp(Consumer)}, for the changes up to a version.
	 * @param until the version
	 * @param done called once all changes up to the version have been delivered
	 */
	public void catchUp(long until, Consumer<CatchUp> done) {
		catchUp(until, done, CatchUp.NONE);
	}

	private void catchUp(long until, Consumer<CatchUp> done, CatchUp before) {
		if (this.closed || !this.following) {
			return;
		}
		int ofGeneration = this.loadGeneration;
		long after = this.version;
		changesSoFar().whenComplete(ExecutorCallback.on(this.executor, (changes, failure) -> {
			if (this.closed || ofGeneration != this.loadGeneration) {
				return;
			}
			// The poll that finds the same reads all partitions again.
			if (failure != null || changes.historyLost() || changes.isStuckAt(after)) {
				this.executor.schedule(() -> catchUp(until, done, before), RETRY_MILLIS, TimeUnit.MILLISECONDS);
				return;
			}
			this.version = Math.max(this.version, changes.version());
			this.listener.changed(changes.rows());
			CatchUp read = before.plus(changes);
			if (!this.latestOnly && !isReached(until, changes)) {
				// An empty answer below the version was composed before it.
				long delayMillis = changes.rows().isEmpty() ? RETRY_MILLIS : 0;
				this.executor.schedule(() -> catchUp(until, done, read), delayMillis, TimeUnit.MILLISECONDS);
				return;
			}
			done.accept(read);
			if (this.pause != null && this.pause.cancel(false)) {
				pollChanges(this.completeness.maxWait());
			}
		}));
	}

	private boolean isReached(long until, TableChanges changes) {
		return (until == ALL_CHANGES) ? changes.rows().isEmpty() : this.version >= until;
	}

	private void loadPartitions() {
		if (this.closed) {
			return;
		}
		this.loadGeneration++;
		this.following = false;
		this.partitions.forEach((partition) -> loadPartition(partition, this.loadGeneration));
	}

	private void loadPartition(String partition, int ofGeneration) {
		if (this.closed || ofGeneration != this.loadGeneration) {
			return;
		}
		this.listener.onCallSent(Duration.ZERO);
		this.reader.readAll(partition).whenComplete(ExecutorCallback.on(this.executor, (loaded, failure) -> {
			if (this.closed || ofGeneration != this.loadGeneration) {
				return;
			}
			if (failure != null) {
				handleFailure(failure, () -> loadPartition(partition, ofGeneration));
				return;
			}
			handleResponse();
			boolean isFirst = !this.following;
			if (isFirst) {
				this.following = true;
				this.version = loaded.version();
				this.followedFromVersion = loaded.version();
			}
			// Such a read was executed before the first answered one and may
			// miss changes made between the two.
			if (loaded.version() < this.followedFromVersion) {
				loadPartition(partition, ofGeneration);
				return;
			}
			this.listener.snapshot(partition, loaded.rows());
			this.listener.onAnswerDelivered(false);
			if (isFirst) {
				this.completeness.proved();
				follow();
			}
		}));
	}

	private void follow() {
		pollChanges(FeedCompleteness.MAX_WAIT);
	}

	private void pollChanges(Duration wait) {
		long after = this.version;
		poll(wait, after, () -> this.table.changes(this.name, after, wait));
	}

	private void followAfterPause() {
		if (this.latestOnly) {
			poll(Duration.ZERO, NOT_A_POLL, this::latest);
		}
		else if (this.confirmsChanges) {
			pollChanges(Duration.ZERO);
		}
		else {
			pollChanges(this.completeness.maxWait());
		}
	}

	private void poll(Duration wait, long after, Supplier<CompletableFuture<TableChanges>> call) {
		if (this.closed) {
			return;
		}
		if (!this.completeness.isProbing()) {
			this.listener.onCallSent(wait);
		}
		call.get().whenComplete(ExecutorCallback.on(this.executor, (changes, failure) -> {
			if (this.closed) {
				return;
			}
			if (failure != null) {
				handleFailure(failure, () -> pollChanges(Duration.ZERO));
				return;
			}
			handleResponse();
			applyChanges(changes, after);
		}));
	}

	private CompletableFuture<TableChanges> changesSoFar() {
		return this.latestOnly ? latest() : this.table.changes(this.name, this.version, Duration.ZERO);
	}

	private CompletableFuture<TableChanges> latest() {
		return this.reader.readNewer(this.partitions.get(0), this.version);
	}

	private void applyChanges(TableChanges changes, long after) {
		if (changes.historyLost() || changes.isStuckAt(after)) {
			this.listener.historyLost();
			this.completeness.reset();
			long delay = changes.historyLost() ? 0 : RETRY_MILLIS;
			this.executor.schedule(this::loadPartitions, delay, TimeUnit.MILLISECONDS);
			return;
		}
		this.version = Math.max(this.version, changes.version());
		if (changes.rows().isEmpty()) {
			boolean pauses = this.completeness.isContinuing();
			this.completeness.proved();
			this.listener.onAnswerDelivered(true);
			if (pauses) {
				pause(this.minimumInterval.get());
			}
			else {
				follow();
			}
			return;
		}
		this.listener.changed(changes.rows());
		Duration interval = this.minimumInterval.get();
		boolean isProbing = this.completeness.isProbing();
		if (!this.latestOnly && changes.isWhole()) {
			this.completeness.proved();
			this.listener.onAnswerDelivered(false);
			pause(interval);
			return;
		}
		if (!this.latestOnly && this.completeness.mustContinue(this.version, interval)) {
			if (this.completeness.startProbe()) {
				this.listener.onCallSent(Duration.ZERO);
			}
			pollChanges(Duration.ZERO);
			return;
		}
		if (isProbing && !this.completeness.isProbing()) {
			this.listener.onAnswerDelivered(false);
		}
		pause(interval);
	}

	private void pause(Duration interval) {
		this.pause = this.executor.schedule(this::followAfterPause, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void handleResponse() {
		if (this.failing) {
			this.failing = false;
			this.listener.onAvailable();
		}
	}

	private void handleFailure(Throwable failure, Runnable retry) {
		if (!this.failing) {
			this.failing = true;
			this.listener.onUnavailable(failure);
		}
		this.executor.schedule(retry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Receives the content and changes of a followed table, on the executor of the
	 * follower.
	 */
	public interface Listener {

		/**
		 * All rows of a partition, replacing everything received for it before.
		 * @param partition the partition
		 * @param rows the rows that exist
		 */
		void snapshot(String partition, List<TableRow> rows);

		/**
		 * Changed rows.
		 * @param rows the rows in the order of their versions
		 */
		void changed(List<TableRow> rows);

		/**
		 * A call is sent that may show that all changes up to then are known. Followers
		 * of several partitions have several such calls in flight.
		 * @param wait the longest time for which the table holds the answer back
		 */
		default void onCallSent(Duration wait) {
		}

		/**
		 * Everything that the table had accepted when the last call was sent has been
		 * delivered. Not called after an answer that others may follow.
		 * @param empty whether the answer held no change
		 */
		default void onAnswerDelivered(boolean empty) {
		}

		/**
		 * Calls started to fail.
		 * @param failure the first failure
		 */
		default void onUnavailable(Throwable failure) {
		}

		/**
		 * Calls succeed again after failures.
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
