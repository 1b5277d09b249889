package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.pool.VirtualTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random series of changes, refused and unanswered calls, held up answers and lost
 * history on virtual time. By hand with
 * {@code -Dfreshness.first=1 -Dfreshness.seeds=500}.
 */
class FreshnessSeriesTests {

	private static final String TABLE = "t";

	private static final long SEEDS = 20;

	private static final long SERIES_MILLIS = 60_000;

	private static final long MEAN_CHANGE_INTERVAL_MILLIS = 400;

	@TestFactory
	Stream<DynamicTest> theAgeOfAFollowedTableNeverHidesAnAcceptedChange() {
		long first = Long.getLong("freshness.first", 1);
		return LongStream.range(first, first + Long.getLong("freshness.seeds", SEEDS))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Series(seed).play()));
	}

	/** One series. */
	private static final class Series implements TableFollower.Listener {

		private final Random random;

		private final VirtualTime time = new VirtualTime();

		private final FreshnessTracker freshness = new FreshnessTracker(() -> this.time.clock().nanos());

		private final UnreliableTable table;

		private long delivered;

		Series(long seed) {
			this.random = new Random(seed);
			this.table = new UnreliableTable(this.time, this.random);
		}

		void play() {
			TableFollower follower = new TableFollower(this.table, TABLE, List.of(""), Duration.ZERO, this.time, this)
				.confirmChanges();
			follower.start();
			for (long millis = 0; millis < SERIES_MILLIS; millis++) {
				if (this.random.nextInt((int) MEAN_CHANGE_INTERVAL_MILLIS) == 0) {
					this.table.accept();
				}
				this.time.runFor(1);
				check();
			}
			this.table.recover();
			this.time.runFor(10_000);
			assertThat(this.freshness.ageMillis().orElseThrow()).as("age at the end").isLessThan(1000);
			assertThat(this.delivered).as("version at the end").isEqualTo(this.table.version());
		}

		private void check() {
			this.freshness.ageMillis().ifPresent((age) -> {
				// The age is in whole milliseconds, rounded down.
				long confirmedMillis = this.time.millis() - age - 1;
				assertThat(this.delivered).as("version delivered at " + this.time.millis())
					.isGreaterThanOrEqualTo(this.table.versionAt(confirmedMillis));
			});
		}

		@Override
		public void snapshot(String partition, List<TableRow> rows) {
			changed(rows);
		}

		@Override
		public void changed(List<TableRow> rows) {
			rows.forEach((row) -> this.delivered = Math.max(this.delivered, row.version()));
		}

		@Override
		public void onCallSent(Duration wait) {
			this.freshness.callSent(wait);
		}

		@Override
		public void onAnswerDelivered(boolean empty) {
			this.freshness.answerDelivered(empty);
		}

	}

	/** A table of one row that is changed again and again. */
	private static final class UnreliableTable implements PartitionedTable {

		private static final int TIMEOUT_MILLIS = 1400;

		private final VirtualTime time;

		private final Random random;

		private final List<Long> acceptedMillis = new ArrayList<>();

		private boolean reliable;

		UnreliableTable(VirtualTime time, Random random) {
			this.time = time;
			this.random = random;
		}

		void accept() {
			this.acceptedMillis.add(this.time.millis());
		}

		void recover() {
			this.reliable = true;
		}

		long version() {
			return this.acceptedMillis.size();
		}

		long versionAt(long millis) {
			int count = this.acceptedMillis.size();
			while (count > 0 && this.acceptedMillis.get(count - 1) > millis) {
				count--;
			}
			return count;
		}

		@Override
		public CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			CompletableFuture<TablePage> answer = new CompletableFuture<>();
			exchange(answer, TIMEOUT_MILLIS, () -> new TablePage(rowsAfter(0), false, version()));
			return answer;
		}

		@Override
		public CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			CompletableFuture<TableChanges> answer = new CompletableFuture<>();
			if (!this.reliable && this.random.nextInt(20) == 0) {
				exchange(answer, TIMEOUT_MILLIS, () -> TableChanges.HISTORY_LOST);
				return answer;
			}
			awaitChange(answer, after, this.time.millis() + wait.toMillis(), wait.toMillis() + TIMEOUT_MILLIS);
			return answer;
		}

		private void awaitChange(CompletableFuture<TableChanges> answer, long after, long endMillis, long timeout) {
			if (version() <= after && this.time.millis() < endMillis) {
				this.time.schedule(() -> awaitChange(answer, after, endMillis, timeout), 1, TimeUnit.MILLISECONDS);
				return;
			}
			exchange(answer, timeout, () -> new TableChanges(rowsAfter(after), version(), false));
		}

		private List<TableRow> rowsAfter(long version) {
			return (version() > version) ? List.of(new TableRow(TABLE, "", "k", "{}", version(), false)) : List.of();
		}

		/** Composes the answer now; it arrives later, or not at all. */
		private <T> void exchange(CompletableFuture<T> answer, long timeoutMillis, Supplier<T> composed) {
			int fate = this.reliable ? 3 : this.random.nextInt(10);
			switch (fate) {
				case 0 -> fail(answer, "the table answered 429", 5);
				case 1 -> fail(answer, "no answer", timeoutMillis);
				case 2 -> complete(answer, composed.get(), this.random.nextInt(6000));
				default -> complete(answer, composed.get(), 1 + this.random.nextInt(8));
			}
		}

		private void fail(CompletableFuture<?> answer, String reason, long delayMillis) {
			Runnable failure = () -> answer.completeExceptionally(new PlatformException(reason, false, null));
			this.time.schedule(failure, delayMillis, TimeUnit.MILLISECONDS);
		}

		private <T> void complete(CompletableFuture<T> answer, T value, long delayMillis) {
			Runnable arrival = () -> answer.complete(value);
			this.time.schedule(arrival, delayMillis, TimeUnit.MILLISECONDS);
		}

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			throw new UnsupportedOperationException("not used");
		}

	}

}
