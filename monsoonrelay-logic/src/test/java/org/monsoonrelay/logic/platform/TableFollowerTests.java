package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
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

	/** Answers reads when told to, and never a wait for changes. */
	private static final class Rows implements PartitionedTable {

		private final Map<String, CompletableFuture<TablePage>> open = new HashMap<>();

		private long followedFrom = -1;

		synchronized void answer(String partition, TablePage page) {
			assertThat(this.open).as("reads that wait for an answer").containsKey(partition);
			this.open.remove(partition).complete(page);
		}

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			throw new UnsupportedOperationException("not used");
		}

		@Override
		public synchronized CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			CompletableFuture<TablePage> answer = new CompletableFuture<>();
			this.open.put(partition, answer);
			return answer;
		}

		@Override
		public synchronized CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			this.followedFrom = after;
			return new CompletableFuture<>();
		}

	}

}
