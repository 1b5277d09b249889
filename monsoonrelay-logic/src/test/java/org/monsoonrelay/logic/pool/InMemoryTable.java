package org.monsoonrelay.logic.pool;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;

/**
 * An in-memory table on virtual time that injects faults: outages, responses that are
 * lost after the write, and writes that take effect late. Acknowledged writes are never
 * lost, and those with too many entries or too large rows are rejected. Not thread-safe.
 */
final class InMemoryTable {

	private static final long LATENCY_MILLIS = 5;

	private static final long TIMEOUT_MILLIS = 900;

	private static final long POLL_MILLIS = 10;

	private static final int MAX_ENTRIES = 100;

	private static final int MAX_ROW_BYTES = 65_536;

	private static final int MAX_WRITE_BYTES = 1_000_000;

	private final VirtualTime time;

	private final Map<String, TableRow> rows = new TreeMap<>();

	private final List<TableRow> history = new ArrayList<>();

	private long version;

	private boolean down;

	private boolean dropsAnswers;

	private long writeDelayMillis;

	private boolean historyLost;

	private long readMillis = LATENCY_MILLIS;

	private String blockedPartition = "";

	private Predicate<PartitionWrite> rejectedWrites = (write) -> false;

	private Predicate<PartitionWrite> refusedWrites = (write) -> false;

	InMemoryTable(VirtualTime time) {
		this.time = time;
	}

	void setDown(boolean isDown) {
		this.down = isDown;
	}

	void setDropsAnswers(boolean drops) {
		this.dropsAnswers = drops;
	}

	/**
	 * Delays the effect of all writes from now on and does not answer them.
	 * @param millis the delay, milliseconds; 0 for none
	 */
	void setWriteDelay(long millis) {
		this.writeDelayMillis = millis;
	}

	void setReadLatency(long millis) {
		this.readMillis = millis;
	}

	/**
	 * Leaves reads of a partition unanswered. Its changes are still delivered.
	 * @param partition the partition, empty for none
	 */
	void blockReads(String partition) {
		this.blockedPartition = partition;
	}

	/**
	 * Rejects writes because of their content.
	 * @param rejected matches these writes
	 */
	void rejectWrites(Predicate<PartitionWrite> rejected) {
		this.rejectedWrites = rejected;
	}

	/**
	 * Refuses writes for now, whatever their content may have to do with it.
	 * @param refused matches these writes
	 */
	void refuseWrites(Predicate<PartitionWrite> refused) {
		this.refusedWrites = refused;
	}

	void loseChangeHistory() {
		this.historyLost = true;
	}

	/**
	 * Creates the client of one process. It can be disconnected from the table.
	 * @return the client
	 */
	Client client() {
		return new Client();
	}

	String value(String table, String partition, String key) {
		TableRow row = this.rows.get(rowKey(table, partition, key));
		return (row != null) ? row.value() : "";
	}

	long version() {
		return this.version;
	}

	private static String rowKey(String table, String partition, String key) {
		return table + '\n' + partition + '\n' + key;
	}

	private static int bytes(PartitionWrite.Put put) {
		return put.value().getBytes(StandardCharsets.UTF_8).length;
	}

	private Stream<TableRow> changedSince(long since) {
		int first = this.history.size();
		while (first > 0 && this.history.get(first - 1).version() > since) {
			first--;
		}
		return this.history.subList(first, this.history.size()).stream();
	}

	private PartitionCommit apply(PartitionWrite write) {
		if (write.conditions().size() + write.puts().size() + write.removals().size() > MAX_ENTRIES) {
			return new PartitionCommit.Rejected("more than " + MAX_ENTRIES + " entries");
		}
		if (write.puts().stream().anyMatch((put) -> bytes(put) > MAX_ROW_BYTES)) {
			return new PartitionCommit.Rejected("a row has more than " + MAX_ROW_BYTES + " bytes");
		}
		// In Base64, three bytes take four.
		if (write.puts().stream().mapToLong(InMemoryTable::bytes).sum() * 4 / 3 > MAX_WRITE_BYTES
				|| this.rejectedWrites.test(write)) {
			return new PartitionCommit.Rejected("not accepted");
		}
		List<TableRow> current = new ArrayList<>();
		boolean holds = true;
		for (PartitionWrite.Condition condition : write.conditions()) {
			TableRow row = this.rows.get(rowKey(condition.table(), write.partition(), condition.key()));
			holds &= condition.version() == ((row != null) ? row.version() : 0);
			if (row != null) {
				current.add(row);
			}
		}
		if (!holds) {
			return new PartitionCommit.Conflict(current);
		}
		this.version++;
		for (PartitionWrite.Put put : write.puts()) {
			TableRow row = new TableRow(put.table(), write.partition(), put.key(), put.value(), this.version, false);
			this.rows.put(rowKey(put.table(), write.partition(), put.key()), row);
			this.history.add(row);
		}
		for (PartitionWrite.Removal removal : write.removals()) {
			if (this.rows.remove(rowKey(removal.table(), write.partition(), removal.key())) != null) {
				this.history
					.add(new TableRow(removal.table(), write.partition(), removal.key(), "", this.version, true));
			}
		}
		return new PartitionCommit.Committed(this.version);
	}

	/** The client of one process. */
	final class Client implements PartitionedTable {

		private boolean disconnected;

		private boolean readsDisconnected;

		private String unansweredFeed = "";

		private boolean rejectsRequests;

		private long ownWriteDelayMillis;

		private long answerDelayMillis;

		private long feedDelayMillis;

		private long writeMillis = LATENCY_MILLIS;

		private int feedRows = Integer.MAX_VALUE;

		private boolean splitsWrites;

		private LongPredicate hiddenVersions = (version) -> false;

		private int readCalls;

		private long linkBytesPerMillis = Long.MAX_VALUE;

		private long historyBegin;

		private String withheldTable = "";

		private final List<TableRow> withheld = new ArrayList<>();

		private Optional<Function<PartitionWrite, WriteAnswer>> answers = Optional.empty();

		/**
		 * Sets what the table does with each write of this process.
		 * @param next returns it for a write that arrives
		 */
		void answerWrites(Function<PartitionWrite, WriteAnswer> next) {
			this.answers = Optional.of(next);
		}

		void setDisconnected(boolean isDisconnected) {
			this.disconnected = isDisconnected;
		}

		/**
		 * Sets whether reads of this process are left unanswered.
		 * @param isDisconnected whether they are
		 */
		void setReadsDisconnected(boolean isDisconnected) {
			this.readsDisconnected = isDisconnected;
		}

		/**
		 * Leaves calls for the changes of one table unanswered.
		 * @param table the table, empty for none
		 */
		void leaveFeedUnanswered(String table) {
			this.unansweredFeed = table;
		}

		/**
		 * Sets whether the table rejects the writes of this process without applying
		 * them.
		 * @param rejects whether writes are rejected
		 */
		void setRejectsRequests(boolean rejects) {
			this.rejectsRequests = rejects;
		}

		/**
		 * Delays the effect of this process's writes from now on and does not answer
		 * them.
		 * @param millis the delay, milliseconds; 0 for none
		 */
		void setWriteDelay(long millis) {
			this.ownWriteDelayMillis = millis;
		}

		/**
		 * Delays the answers to this process's writes, which take effect at once.
		 * @param millis the delay, milliseconds; 0 for none
		 */
		void setAnswerDelay(long millis) {
			this.answerDelayMillis = millis;
		}

		/**
		 * Delays the changes that this process reads.
		 * @param millis the delay, milliseconds; 0 for none
		 */
		void setFeedDelay(long millis) {
			this.feedDelayMillis = millis;
		}

		/**
		 * Limits the rows of one answer of the change feed. Rows of one write stay
		 * together.
		 * @param rows the limit
		 */
		void setFeedRows(int rows) {
			this.feedRows = rows;
			this.splitsWrites = false;
		}

		/**
		 * Cuts each answer of the change feed after some rows, without telling so, also
		 * within the rows of one write. It is then continued from the version before that
		 * write.
		 * @param rows the limit
		 */
		void cutAnswersAfter(int rows) {
			this.feedRows = rows;
			this.splitsWrites = true;
		}

		/**
		 * Leaves the changed rows of one table out of answers, which tell the newest
		 * version all the same. Once that ends, they come with the next answer.
		 * @param table the table, empty for none
		 */
		void withholdRows(String table) {
			this.withheldTable = table;
		}

		/**
		 * Leaves writes out of answers of the change feed that tell higher versions.
		 * Reads see them.
		 * @param hidden matches the versions that are left out
		 */
		void hideChanges(LongPredicate hidden) {
			this.hiddenVersions = hidden;
		}

		/**
		 * The number of calls for changes and of reads that this process has sent.
		 * @return the count
		 */
		int readCalls() {
			return this.readCalls;
		}

		/**
		 * Sets the rate at which this process receives answers to its reads.
		 * @param bytesPerMillis the rate, bytes in a millisecond
		 */
		void setLinkRate(long bytesPerMillis) {
			this.linkBytesPerMillis = bytesPerMillis;
		}

		/** Discards the changes up to now that this process has not read. */
		void loseChangeHistory() {
			this.historyBegin = InMemoryTable.this.version;
		}

		/**
		 * Sets how long writes of this process take until they have an effect and are
		 * answered.
		 * @param millis the latency, milliseconds
		 */
		void setWriteLatency(long millis) {
			this.writeMillis = millis;
		}

		private boolean isUnreachable() {
			return this.disconnected || InMemoryTable.this.down;
		}

		private boolean isUnreadable() {
			return this.readsDisconnected || isUnreachable();
		}

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			CompletableFuture<PartitionCommit> answer = new CompletableFuture<>();
			WriteAnswer treatment = this.answers.map((next) -> next.apply(write)).orElse(WriteAnswer.USUAL);
			if (!treatment.equals(WriteAnswer.USUAL)) {
				if (treatment.effectMillis() != WriteAnswer.NEVER) {
					after(treatment.effectMillis(), () -> apply(write));
				}
				after(treatment.answerMillis(), () -> answer.complete(treatment.answer().orElseThrow()));
				return answer;
			}
			if (this.rejectsRequests || InMemoryTable.this.refusedWrites.test(write)) {
				after(1, () -> answer.complete(new PartitionCommit.NotDone("busy")));
			}
			else if (isUnreachable()) {
				after(TIMEOUT_MILLIS, () -> answer.complete(new PartitionCommit.Unknown("no answer")));
			}
			else if (Math.max(this.ownWriteDelayMillis, InMemoryTable.this.writeDelayMillis) > 0) {
				after(Math.max(this.ownWriteDelayMillis, InMemoryTable.this.writeDelayMillis), () -> apply(write));
				after(TIMEOUT_MILLIS, () -> answer.complete(new PartitionCommit.Unknown("no answer")));
			}
			else if (InMemoryTable.this.dropsAnswers) {
				after(LATENCY_MILLIS, () -> apply(write));
				after(TIMEOUT_MILLIS, () -> answer.complete(new PartitionCommit.Unknown("no answer")));
			}
			else {
				after(this.writeMillis, () -> {
					PartitionCommit commit = apply(write);
					after(1 + this.answerDelayMillis, () -> answer.complete(commit));
				});
			}
			return answer;
		}

		@Override
		public CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			CompletableFuture<TablePage> answer = new CompletableFuture<>();
			this.readCalls++;
			boolean isBlocked = !partition.isEmpty() && partition.equals(InMemoryTable.this.blockedPartition);
			if (isUnreadable() || isBlocked) {
				after(TIMEOUT_MILLIS, () -> fail(answer));
				return answer;
			}
			after(InMemoryTable.this.readMillis, () -> {
				List<TableRow> found = InMemoryTable.this.rows.values()
					.stream()
					.filter((row) -> row.table().equals(table) && row.partition().equals(partition))
					.filter((row) -> row.key().compareTo(from) >= 0)
					.limit(limit + 1L)
					.toList();
				boolean truncated = found.size() > limit;
				TablePage page = new TablePage(truncated ? found.subList(0, limit) : found, truncated,
						InMemoryTable.this.version);
				deliver(page.rows(), 0, () -> answer.complete(page));
			});
			return answer;
		}

		@Override
		public CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			CompletableFuture<TableChanges> answer = new CompletableFuture<>();
			this.readCalls++;
			if (isUnreadable() || table.equals(this.unansweredFeed)) {
				after(TIMEOUT_MILLIS, () -> fail(answer));
				return answer;
			}
			poll(answer, table, after, wait.toMillis());
			return answer;
		}

		private void poll(CompletableFuture<TableChanges> answer, String table, long since, long remainingMillis) {
			if (isUnreadable()) {
				after(TIMEOUT_MILLIS, () -> fail(answer));
				return;
			}
			if (InMemoryTable.this.historyLost) {
				InMemoryTable.this.historyLost = false;
				answer.complete(TableChanges.HISTORY_LOST);
				return;
			}
			if (since < this.historyBegin) {
				answer.complete(TableChanges.HISTORY_LOST);
				return;
			}
			List<TableRow> changed = withholding(table,
					changedSince(since)
						.filter((row) -> row.table().equals(table) && !this.hiddenVersions.test(row.version()))
						.toList());
			if (!changed.isEmpty() || remainingMillis <= 0) {
				TableChanges changes = limited(changed, since);
				deliver(changes.rows(), this.feedDelayMillis, () -> answer.complete(changes));
				return;
			}
			after(POLL_MILLIS, () -> poll(answer, table, since, remainingMillis - POLL_MILLIS));
		}

		private List<TableRow> withholding(String table, List<TableRow> changed) {
			if (table.equals(this.withheldTable)) {
				changed.stream().filter((row) -> !this.withheld.contains(row)).forEach(this.withheld::add);
				return List.of();
			}
			List<TableRow> late = this.withheld.stream().filter((row) -> row.table().equals(table)).toList();
			this.withheld.removeAll(late);
			return Stream.concat(late.stream().filter((row) -> !changed.contains(row)), changed.stream()).toList();
		}

		private TableChanges limited(List<TableRow> changed, long since) {
			if (changed.size() <= this.feedRows) {
				return new TableChanges(changed, InMemoryTable.this.version, false);
			}
			long last = changed.get(this.feedRows - 1).version();
			if (this.splitsWrites) {
				boolean isSplit = changed.get(this.feedRows).version() == last;
				return new TableChanges(changed.subList(0, this.feedRows), isSplit ? Math.max(since, last - 1) : last,
						false);
			}
			return new TableChanges(changed.stream().takeWhile((row) -> row.version() <= last).toList(), last, false);
		}

		private void deliver(List<TableRow> rows, long delayMillis, Runnable answer) {
			long bytes = rows.stream().mapToLong((row) -> row.key().length() + row.value().length()).sum();
			long millis = delayMillis + bytes / this.linkBytesPerMillis;
			if (millis > 0) {
				after(millis, answer);
			}
			else {
				answer.run();
			}
		}

		private void after(long millis, Runnable action) {
			InMemoryTable.this.time.schedule(action, millis, TimeUnit.MILLISECONDS);
		}

		private <T> void fail(CompletableFuture<T> answer) {
			answer.completeExceptionally(new PlatformException("no answer", true, null));
		}

	}

}
