package org.monsoonrelay.scheduler.pool;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.platform.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;

class PoolSchedulerTests {

	private static final int UNUSED_PORT = 7;

	private static final long AWAIT_SECONDS = 10;

	private final PeerIdentity self = new PeerIdentity("session", "host", "d",
			new HostAddress("127.0.0.1", UNUSED_PORT));

	private final PeerNetwork network = new PeerNetwork(this.self, "secret",
			(from, message) -> new CompletableFuture<>());

	private final CountDownLatch busy = new CountDownLatch(1);

	private final PoolScheduler scheduler = new PoolScheduler(HostSettings.forTraining(UNUSED_PORT), this.self,
			new BlockingTable(), this.network, DecisionLog.NONE, new UnreadableRows(DecisionLog.NONE));

	@AfterEach
	void close() {
		this.busy.countDown();
		this.scheduler.close();
		this.network.close();
	}

	private long version() {
		return this.scheduler.configuration().activeConfiguration().version();
	}

	@Test
	void aConfigurationComesIntoForceWhileTheControlThreadIsBusy() {
		this.scheduler.start();
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
		while (version() == 0 && System.nanoTime() - endNanos < 0) {
			Thread.onSpinWait();
		}
		assertThat(version()).isEqualTo(4);
	}

	/** A table that has a configuration and keeps whoever reads another table waiting. */
	private final class BlockingTable implements PartitionedTable {

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			if (table.equals("op")) {
				TableRow row = new TableRow(table, partition, "config", "{\"version\":4,\"routes\":[],\"services\":[]}",
						1, false);
				return CompletableFuture.completedFuture(new TablePage(List.of(row), false, 1));
			}
			try {
				PoolSchedulerTests.this.busy.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			return new CompletableFuture<>();
		}

	}

}
