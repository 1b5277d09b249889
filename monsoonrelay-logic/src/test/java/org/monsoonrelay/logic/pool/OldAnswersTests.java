package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.CatchUp;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against taking an empty answer for proof that was composed before a take-over.
 */
class OldAnswersTests {

	private final VirtualTime time = new VirtualTime();

	private final Deque<CompletableFuture<TableChanges>> calls = new ArrayDeque<>();

	@Test
	void doNotShowThatAVersionAboveTheirsIsReached() {
		List<CatchUp> done = new ArrayList<>();
		TableFollower follower = new TableFollower(new PartitionedTable() {

			@Override
			public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
				return new CompletableFuture<>();
			}

			@Override
			public CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
				return CompletableFuture.completedFuture(new TablePage(List.of(), false, 7));
			}

			@Override
			public CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
				CompletableFuture<TableChanges> call = new CompletableFuture<>();
				OldAnswersTests.this.calls.add(call);
				return call;
			}

		}, "table", List.of("p"), Duration.ofMillis(500), this.time, new TableFollower.Listener() {

			@Override
			public void snapshot(String partition, List<TableRow> rows) {
			}

			@Override
			public void changed(List<TableRow> rows) {
			}

		});
		follower.start();
		this.time.runFor(10);
		follower.catchUp(10, done::add);
		this.time.runFor(10);
		this.calls.removeLast().complete(new TableChanges(List.of(), 8, false));
		this.time.runFor(10);
		assertThat(done).isEmpty();
	}

}
