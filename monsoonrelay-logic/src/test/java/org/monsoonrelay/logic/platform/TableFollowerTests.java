package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TableFollowerTests {

	private static final String TABLE = "t";

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Rows rows = new Rows();

	private final List<String> heard = new ArrayList<>();

	private final TableFollower follower = new TableFollower(this.rows, TABLE, List.of("p", "q"), Duration.ZERO,
			this.executor, new Heard());

	@AfterEach
	void close() {
		this.follower.close();
		this.executor.shutdownNow();
	}

	/** Everything that the executor was given so far has run. */
	private void settle() throws Exception {
		for (int i = 0; i < 3; i++) {
			this.executor.submit(() -> {
			}).get(10, TimeUnit.SECONDS);
		}
	}

	private static TableRow row(String partition, String key, long version) {
		return new TableRow(TABLE, partition, key, "{}", version, false);
	}

	@Test
	void hearsOfARowThatWasWrittenBetweenTheReadsOfTwoPartitions() throws Exception {
		this.follower.start();
		settle();
		// The read of q was carried out first, at 5, and answered last.
		this.rows.answer("p", new TablePage(List.of(), false, 7));
		settle();
		this.rows.answer("q", new TablePage(List.of(), false, 5));
		settle();
		this.rows.answer("q", new TablePage(List.of(row("q", "between", 6)), false, 7));
		settle();
		assertThat(this.rows.followedFrom).isEqualTo(7);
		assertThat(this.heard).containsExactly("between");
	}

	@Test
	void followsAsSoonAsOnePartitionIsRead() throws Exception {
		this.follower.start();
		settle();
		this.rows.answer("q", new TablePage(List.of(row("q", "old", 3)), false, 7));
		settle();
		assertThat(this.rows.followedFrom).isEqualTo(7);
		assertThat(this.heard).containsExactly("old");
		this.rows.answer("p", new TablePage(List.of(row("p", "later", 8)), false, 9));
		settle();
		assertThat(this.heard).containsExactly("old", "later");
	}

	/**
	 * What hosts heard by the feed grew older all the while, 15.6 s old after 35 s. The
	 * table gives at most 500 rows an answer, and a follower paused after each answer as
	 * if it had heard all: an answer covered 205 versions while the table went on by 656.
	 * Shown by the versions of a calm day: at the end of an answer the follower stood 250
	 * behind the owner's message at 1 s, 2,647 at 20 s and 4,474 at 36 s.
	 */
	@Test
	void readsOnAtOnceAfterAnAnswerThatWasCut() throws Exception {
		TableFollower pausing = new TableFollower(this.rows, TABLE, List.of("p"), Duration.ofDays(1), this.executor,
				new Heard());
		pausing.start();
		settle();
		this.rows.answer("p", new TablePage(List.of(), false, 7));
		settle();
		this.rows.change(new TableChanges(List.of(row("p", "first", 8)), 8, true, false));
		settle();
		assertThat(this.rows.followedFrom).isEqualTo(8);
		this.rows.change(new TableChanges(List.of(row("p", "second", 9)), 10, false, false));
		settle();
		assertThat(this.heard).containsExactly("first", "second");
		assertThat(this.rows.followedFrom).as("pauses after an answer that was whole").isEqualTo(8);
		pausing.close();
	}

	/**
	 * A new owner reads what the former one wrote before it begins. It took one answer
	 * for all of it, also one that was cut, and would have begun without the rest.
	 */
	@Test
	void hasCaughtUpOnlyOnceAnAnswerWasNotCut() throws Exception {
		List<String> done = new ArrayList<>();
		this.follower.start();
		settle();
		this.rows.answer("p", new TablePage(List.of(), false, 7));
		settle();
		this.executor.execute(() -> this.follower.catchUp(() -> done.add("done")));
		settle();
		this.rows.change(new TableChanges(List.of(row("p", "first", 8)), 8, true, false));
		settle();
		assertThat(done).isEmpty();
		this.rows.change(new TableChanges(List.of(row("p", "second", 9)), 10, false, false));
		settle();
		assertThat(this.heard).containsExactly("first", "second");
		assertThat(done).hasSize(1);
	}

	/**
	 * The owner writes its row up to fifty times a second, and each host was sent every
	 * version of it after a pause: 0.4 MB a host, seven tenths of the bytes of all larger
	 * answers of the feeds.
	 */
	@Test
	void ofTheLatestRowsOnlyPassesOverTheHistoryOfAPause() throws Exception {
		TableFollower latest = new TableFollower(this.rows, TABLE, List.of("p"), Duration.ZERO, this.executor,
				new Heard())
			.latestOnly();
		latest.start();
		this.rows.awaitRead();
		this.rows.answer("p", new TablePage(List.of(), false, 7));
		settle();
		this.rows.change(new TableChanges(List.of(row("p", "first", 8)), 8, false, false));
		this.rows.awaitRead();
		this.rows.answer("p", new TablePage(List.of(row("p", "ninth", 17)), false, 20));
		this.rows.awaitRead();
		this.rows.answer("p", new TablePage(List.of(row("p", "ninth", 17)), false, 21));
		settle();
		assertThat(this.heard).containsExactly("first", "ninth");
		assertThat(this.rows.followedFrom).as("waits for the next change").isEqualTo(20);
		latest.close();
	}

	private final class Heard implements TableFollower.Listener {

		@Override
		public void snapshot(String partition, List<TableRow> all) {
			changed(all);
		}

		@Override
		public void changed(List<TableRow> changes) {
			changes.forEach((row) -> TableFollowerTests.this.heard.add(row.key()));
		}

	}

	/** Answers reads when told to, and of the questions for changes the latest. */
	private static final class Rows implements PartitionedTable {

		private final Map<String, CompletableFuture<TablePage>> open = new HashMap<>();

		private final Semaphore begun = new Semaphore(0);

		private CompletableFuture<TableChanges> latest = new CompletableFuture<>();

		private long followedFrom = -1;

		synchronized void answer(String partition, TablePage page) {
			assertThat(this.open).as("reads that wait for an answer").containsKey(partition);
			this.open.remove(partition).complete(page);
		}

		void awaitRead() throws InterruptedException {
			assertThat(this.begun.tryAcquire(10, TimeUnit.SECONDS)).as("a read has begun").isTrue();
		}

		synchronized void change(TableChanges changes) {
			this.latest.complete(changes);
		}

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			throw new UnsupportedOperationException("not used");
		}

		@Override
		public synchronized CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			CompletableFuture<TablePage> answer = new CompletableFuture<>();
			this.open.put(partition, answer);
			this.begun.release();
			return answer;
		}

		@Override
		public synchronized CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			this.followedFrom = after;
			this.latest = new CompletableFuture<>();
			return this.latest;
		}

	}

}
