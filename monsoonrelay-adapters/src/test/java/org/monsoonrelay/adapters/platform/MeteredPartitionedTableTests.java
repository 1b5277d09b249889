package org.monsoonrelay.adapters.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TablePage;

import static org.assertj.core.api.Assertions.assertThat;

class MeteredPartitionedTableTests {

	private final MetricRegistry metrics = new MetricRegistry();

	private final Answers answers = new Answers();

	private long nanos;

	private final PartitionedTable table = new MeteredPartitionedTable(this.answers, this.metrics, () -> this.nanos);

	private long count(String name) {
		return this.metrics.counter(name).getCount();
	}

	@Test
	void countsWritesByOutcomeAndTimesThem() {
		this.table.commit(PartitionWrite.to("p"));
		this.nanos += 14_000_000;
		this.answers.commit.complete(new PartitionCommit.Conflict(List.of()));
		assertThat(count("table.commits.Conflict")).isEqualTo(1);
		assertThat(this.metrics.histogram("table.commit.millis").getSnapshot().getMax()).isEqualTo(14);
		this.answers.commit = CompletableFuture.completedFuture(new PartitionCommit.Unknown("no answer"));
		this.table.commit(PartitionWrite.to("p"));
		assertThat(count("table.commits.Unknown")).isEqualTo(1);
	}

	@Test
	void countsReadsAndWaitsForChangesByOutcome() {
		this.table.read("t", "p", "", 1);
		this.table.changes("t", 0, Duration.ZERO);
		this.answers.page.complete(new TablePage(List.of(), false, 1));
		this.answers.news.completeExceptionally(new PlatformException("no answer", true, null));
		assertThat(count("table.reads.answered")).isEqualTo(1);
		assertThat(this.metrics.histogram("table.read.millis").getCount()).isEqualTo(1);
		assertThat(count("table.changes.failed")).isEqualTo(1);
		assertThat(count("table.changes.answered")).isZero();
	}

	private static final class Answers implements PartitionedTable {

		private final CompletableFuture<TablePage> page = new CompletableFuture<>();

		private final CompletableFuture<TableChanges> news = new CompletableFuture<>();

		private CompletableFuture<PartitionCommit> commit = new CompletableFuture<>();

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			return this.commit;
		}

		@Override
		public CompletableFuture<TablePage> read(String name, String partition, String from, int limit) {
			return this.page;
		}

		@Override
		public CompletableFuture<TableChanges> changes(String name, long after, Duration wait) {
			return this.news;
		}

	}

}
