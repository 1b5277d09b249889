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

	private final ManualTable table = new ManualTable();

	private final List<String> receivedKeys = new ArrayList<>();

	private final TableFollower follower = new TableFollower(this.table, TABLE, List.of("p", "q"), Duration.ZERO,
			this.executor, new RecordingListener());

	@AfterEach
	void close() {
		this.follower.close();
		this.executor.shutdownNow();
	}

	/** Waits until the tasks submitted so far, and those that they submit, have run. */
	private void awaitExecutor() throws Exception {
		for (int i = 0; i < 3; i++) {
			this.executor.submit(() -> {
			}).get(10, TimeUnit.SECONDS);
		}
	}

	private static TableRow row(String partition, String key, long version) {
		return new TableRow(TABLE, partition, key, "{}", version, false);
	}

	@Test
	void receivesARowWrittenBetweenTheReadsOfTwoPartitions() throws Exception {
		this.follower.start();
		awaitExecutor();
		// The read of q is executed first, at version 5, but answered last.
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.table.answer("q", new TablePage(List.of(), false, 5));
		awaitExecutor();
		this.table.answer("q", new TablePage(List.of(row("q", "between", 6)), false, 7));
		awaitExecutor();
		assertThat(this.table.followedFrom).isEqualTo(7);
		assertThat(this.receivedKeys).containsExactly("between");
	}

	@Test
	void followsAsSoonAsOnePartitionIsRead() throws Exception {
		this.follower.start();
		awaitExecutor();
		this.table.answer("q", new TablePage(List.of(row("q", "old", 3)), false, 7));
		awaitExecutor();
		assertThat(this.table.followedFrom).isEqualTo(7);
		assertThat(this.receivedKeys).containsExactly("old");
		this.table.answer("p", new TablePage(List.of(row("p", "later", 8)), false, 9));
		awaitExecutor();
		assertThat(this.receivedKeys).containsExactly("old", "later");
	}

	/**
	 * Guards against a growing lag of the feed, which reached 15.6 s after 35 s. An
	 * answer contains a limited number of rows, and the follower paused after each one:
	 * an answer covered 205 versions while the table advanced by 656. The follower was
	 * 250 versions behind the owner's messages after 1 s, 2,647 after 20 s and 4,474
	 * after 36 s.
	 */
	@Test
	void continuesAtOnceUntilNothingFollowsIfThePauseIsLong() throws Exception {
		TableFollower pausing = new TableFollower(this.table, TABLE, List.of("p"), Duration.ofDays(1), this.executor,
				new RecordingListener());
		pausing.start();
		awaitExecutor();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.table.answerPoll(new TableChanges(List.of(row("p", "first", 8)), 8, false));
		awaitExecutor();
		assertThat(this.table.followedFrom).isEqualTo(8);
		this.table.answerPoll(new TableChanges(List.of(row("p", "second", 9)), 9, false));
		awaitExecutor();
		assertThat(this.receivedKeys).containsExactly("first", "second");
		assertThat(this.table.followedFrom).isEqualTo(9);
		this.table.answerPoll(new TableChanges(List.of(), 12, false));
		awaitExecutor();
		assertThat(this.table.followedFrom).as("pauses once nothing follows").isEqualTo(9);
		pausing.close();
	}

	@Test
	void pausesAfterAnAnswerThatIsContinuedBeyondItsRows() throws Exception {
		TableFollower pausing = new TableFollower(this.table, TABLE, List.of("p"), Duration.ofDays(1), this.executor,
				new RecordingListener());
		pausing.start();
		awaitExecutor();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.table.answerPoll(new TableChanges(List.of(row("p", "first", 8)), 9, false));
		awaitExecutor();
		assertThat(this.receivedKeys).containsExactly("first");
		assertThat(this.table.followedFrom).as("pauses").isEqualTo(7);
		pausing.close();
	}

	/**
	 * A new owner reads everything that the former owner wrote before it starts. Guards
	 * against treating an answer as complete and starting without the remaining changes.
	 */
	@Test
	void hasCaughtUpOnlyAfterAnAnswerThatShowsThatNothingFollows() throws Exception {
		List<String> done = new ArrayList<>();
		this.follower.start();
		awaitExecutor();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.executor.execute(() -> this.follower.catchUp((read) -> done.add("done")));
		awaitExecutor();
		this.table.answerPoll(new TableChanges(List.of(row("p", "first", 8)), 8, false));
		awaitExecutor();
		assertThat(done).isEmpty();
		this.table.answerPoll(new TableChanges(List.of(row("p", "second", 9)), 10, false));
		awaitExecutor();
		assertThat(this.receivedKeys).containsExactly("first", "second");
		assertThat(done).isEmpty();
		this.table.answerPoll(new TableChanges(List.of(), 11, false));
		awaitExecutor();
		assertThat(done).hasSize(1);
	}

	@Test
	void hasCaughtUpWithAVersionOnceTheFeedHasReachedIt() throws Exception {
		List<CatchUp> done = new ArrayList<>();
		this.follower.start();
		awaitExecutor();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.executor.execute(() -> this.follower.catchUp(10, done::add));
		awaitExecutor();
		this.table.answerPoll(new TableChanges(List.of(row("p", "first", 8)), 9, false));
		awaitExecutor();
		assertThat(done).isEmpty();
		this.table.answerPoll(new TableChanges(List.of(row("p", "second", 10)), 10, false));
		awaitExecutor();
		assertThat(done).containsExactly(new CatchUp(10, 2, 2));
	}

	@Test
	void readsThePartitionsAgainIfAnAnswerEndsWithinTheFirstWriteAfterItsVersion() throws Exception {
		this.follower.start();
		awaitExecutor();
		this.table.answer("q", new TablePage(List.of(), false, 7));
		this.table.answer("p", new TablePage(List.of(), false, 7));
		this.table.awaitRead();
		this.table.awaitRead();
		awaitExecutor();
		this.table.answerPoll(new TableChanges(List.of(row("p", "a", 8)), 7, false));
		this.table.awaitRead();
		this.table.awaitRead();
		this.table.answer("p", new TablePage(List.of(row("p", "a", 8), row("p", "b", 8)), false, 8));
		awaitExecutor();
		assertThat(this.receivedKeys).containsExactly("a", "b");
		assertThat(this.table.followedFrom).isEqualTo(8);
	}

	/**
	 * Guards against transferring needless history: the owner writes its row up to 50
	 * times per second, and each host received every version of it after a pause. This
	 * was 0.4 MB per host, 70 % of the bytes of all larger answers of the feeds.
	 */
	@Test
	void skipsTheHistoryOfAPauseIfOnlyTheLatestRowsAreFollowed() throws Exception {
		TableFollower latest = new TableFollower(this.table, TABLE, List.of("p"), Duration.ZERO, this.executor,
				new RecordingListener())
			.latestOnly();
		latest.start();
		this.table.awaitRead();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.table.answerPoll(new TableChanges(List.of(row("p", "first", 8)), 8, false));
		this.table.awaitRead();
		this.table.answer("p", new TablePage(List.of(row("p", "ninth", 17)), false, 20));
		this.table.awaitRead();
		this.table.answer("p", new TablePage(List.of(row("p", "ninth", 17)), false, 21));
		awaitExecutor();
		assertThat(this.receivedKeys).containsExactly("first", "ninth");
		assertThat(this.table.followedFrom).as("waits for the next change").isEqualTo(20);
		latest.close();
	}

	@Test
	void asksAtOnceForOtherChangesIfChangesAreToBeConfirmed() throws Exception {
		TableFollower confirming = new TableFollower(this.table, TABLE, List.of("p"), Duration.ZERO, this.executor,
				new RecordingListener())
			.confirmChanges();
		confirming.start();
		this.table.awaitRead();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		this.table.awaitPoll();
		this.table.answerPoll(new TableChanges(List.of(row("p", "first", 8)), 8, false));
		this.table.awaitPoll();
		this.table.answerPoll(new TableChanges(List.of(), 8, false));
		this.table.awaitPoll();
		assertThat(this.table.waits).hasSize(3)
			.satisfies((waits) -> assertThat(waits.get(1)).isEqualTo(Duration.ZERO))
			.satisfies((waits) -> assertThat(waits.get(2)).isEqualTo(waits.get(0)).isPositive());
		confirming.close();
	}

	@Test
	void asksWithoutWaitingAfterAFailure() throws Exception {
		this.follower.start();
		this.table.awaitRead();
		this.table.awaitRead();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		this.table.awaitPoll();
		this.table.failPoll();
		this.table.awaitPoll();
		this.table.answerPoll(new TableChanges(List.of(), 7, false));
		this.table.awaitPoll();
		assertThat(this.table.waits).hasSize(3)
			.satisfies((waits) -> assertThat(waits.get(1)).isEqualTo(Duration.ZERO))
			.satisfies((waits) -> assertThat(waits.get(2)).isEqualTo(waits.get(0)).isPositive());
	}

	@Test
	void deliversNothingAfterItWasClosed() throws Exception {
		this.follower.start();
		awaitExecutor();
		this.table.answer("p", new TablePage(List.of(), false, 7));
		awaitExecutor();
		this.executor.submit(this.follower::close).get(10, TimeUnit.SECONDS);
		this.table.answerPoll(new TableChanges(List.of(row("p", "late", 8)), 8, false));
		awaitExecutor();
		assertThat(this.receivedKeys).isEmpty();
	}

	private final class RecordingListener implements TableFollower.Listener {

		@Override
		public void snapshot(String partition, List<TableRow> all) {
			changed(all);
		}

		@Override
		public void changed(List<TableRow> changes) {
			changes.forEach((row) -> TableFollowerTests.this.receivedKeys.add(row.key()));
		}

	}

	/**
	 * A table that answers reads, and the latest poll for changes, on request of the
	 * test.
	 */
	private static final class ManualTable implements PartitionedTable {

		private final Map<String, CompletableFuture<TablePage>> pendingReads = new HashMap<>();

		private final Semaphore startedReads = new Semaphore(0);

		private final Semaphore startedPolls = new Semaphore(0);

		private final List<Duration> waits = new ArrayList<>();

		private CompletableFuture<TableChanges> latest = new CompletableFuture<>();

		private long followedFrom = -1;

		synchronized void answer(String partition, TablePage page) {
			assertThat(this.pendingReads).as("reads that wait for an answer").containsKey(partition);
			this.pendingReads.remove(partition).complete(page);
		}

		void awaitRead() throws InterruptedException {
			assertThat(this.startedReads.tryAcquire(10, TimeUnit.SECONDS)).as("a read has begun").isTrue();
		}

		void awaitPoll() throws InterruptedException {
			assertThat(this.startedPolls.tryAcquire(10, TimeUnit.SECONDS)).as("a poll has begun").isTrue();
		}

		synchronized void answerPoll(TableChanges changes) {
			this.latest.complete(changes);
		}

		synchronized void failPoll() {
			this.latest.completeExceptionally(new PlatformException("no answer", false, null));
		}

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			throw new UnsupportedOperationException("not used");
		}

		@Override
		public synchronized CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			CompletableFuture<TablePage> answer = new CompletableFuture<>();
			this.pendingReads.put(partition, answer);
			this.startedReads.release();
			return answer;
		}

		@Override
		public synchronized CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			this.followedFrom = after;
			this.waits.add(wait);
			this.latest = new CompletableFuture<>();
			this.startedPolls.release();
			return this.latest;
		}

	}

}
