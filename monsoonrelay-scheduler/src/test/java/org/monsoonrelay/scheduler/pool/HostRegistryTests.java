package org.monsoonrelay.scheduler.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.pool.HostRecord;
import org.monsoonrelay.logic.pool.StandbySelector;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.host.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

class HostRegistryTests {

	private static final HostRecord SELF = new HostRecord("self", "d", "10.0.0.1:70", "life", 1, false);

	private final List<Decision> decisions = new ArrayList<>();

	private final HostRegistry registry = new HostRegistry(null, null, SELF, new HostRegistry.Listener() {

		@Override
		public void hostsChanged(List<String> hosts) {
			HostRegistryTests.this.reportedHosts = hosts;
		}

		@Override
		public void hostRestarted(String host) {
			HostRegistryTests.this.restarted.add(host);
		}

	}, new UnreadableRows(this.decisions::add));

	private final List<String> restarted = new ArrayList<>();

	private List<String> reportedHosts = List.of();

	private static TableRow row(String host, String value) {
		return new TableRow(JobTables.HOSTS, "", host, value, 1, false);
	}

	private static TableRow row(String host) {
		return row(host, Json.write(new HostRecord(host, "d", "10.0.0.2:70", "life of " + host, 1, false)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "{", "7", "{}",
			"{\"host\":\"b\",\"failureDomain\":\"d\",\"peerAddress\":\"nowhere\",\"incarnation\":\"i\"}",
			"{\"host\":\"b\",\"failureDomain\":\"d\",\"peerAddress\":null,\"incarnation\":\"i\"}",
			"{\"host\":\"b\",\"failureDomain\":\"d\",\"peerAddress\":\"10.0.0.2:70\"}",
			"{\"host\":7,\"failureDomain\":\"d\",\"peerAddress\":\"10.0.0.2:70\",\"incarnation\":\"i\"}" })
	void anUnreadableRowIsExcludedAndAllOthersAreKept(String value) {
		this.registry.snapshot("", List.of(row("a"), row("b", value), row("c")));
		assertThat(this.reportedHosts).containsExactlyInAnyOrder("self", "a", "c");
		assertThat(this.registry.addresses()).containsOnly(HostAddress.parse("10.0.0.2:70"));
		assertThat(this.decisions).hasSize(1);
	}

	@Test
	void aHostWhoseRowBecomesUnreadableIsExcludedUntilItCanBeRead() {
		this.registry.snapshot("", List.of(row("a"), row("b")));
		this.registry.changed(List.of(row("b", "{")));
		assertThat(this.reportedHosts).containsExactly("self", "a");
		this.registry.changed(List.of(row("b")));
		assertThat(this.reportedHosts).containsExactlyInAnyOrder("self", "a", "b");
		assertThat(this.restarted).isEmpty();
	}

	@Test
	void aHostThatRestartedBetweenTwoSnapshotsIsReported() {
		this.registry.snapshot("", List.of(row("a"), row("b")));
		this.registry.snapshot("", List.of(row("a", Json.write(restarted("a"))), row("b")));
		assertThat(this.restarted).containsExactly("a");
	}

	@Test
	void aHostStaysReadyAsAStandbyOverSnapshots() {
		this.registry.snapshot("", List.of(row("a")));
		this.registry.snapshot("", List.of(row("a")));
		assertThat(this.registry.standbyCandidates(System.nanoTime())).allMatch(StandbySelector.Candidate::isReady)
			.hasSize(1);
	}

	private static HostRecord restarted(String host) {
		return new HostRecord(host, "d", "10.0.0.2:70", "next life of " + host, 1, false);
	}

	@Nested
	class FollowedAgain {

		private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();

		private final HeldTable table = new HeldTable();

		private final HostRegistry followed = new HostRegistry(this.table, this.control, SELF,
				new HostRegistry.Listener() {

					@Override
					public void hostsChanged(List<String> hosts) {
						HostRegistryTests.this.reportedHosts = hosts;
					}

					@Override
					public void hostRestarted(String host) {
						HostRegistryTests.this.restarted.add(host);
					}

				}, new UnreadableRows(HostRegistryTests.this.decisions::add));

		@AfterEach
		void stop() {
			this.control.shutdownNow();
		}

		private void run(Runnable action) throws Exception {
			this.control.submit(action).get(10, TimeUnit.SECONDS);
			for (int i = 0; i < 3; i++) {
				this.control.submit(() -> {
				}).get(10, TimeUnit.SECONDS);
			}
		}

		private void followAndLoad(TableRow... rows) throws Exception {
			run(this.followed::follow);
			run(() -> this.table.reads.remove().complete(new TablePage(List.of(rows), false, 7)));
		}

		@Test
		void ignoresALateAnswerToItsFormerFollower() throws Exception {
			followAndLoad(row("a"));
			CompletableFuture<TableChanges> late = this.table.polls.remove();
			followAndLoad(row("a", Json.write(restarted("a"))));
			HostRegistryTests.this.restarted.clear();

			run(() -> late.complete(new TableChanges(List.of(row("a")), 7, false)));

			assertThat(HostRegistryTests.this.restarted).isEmpty();
		}

		@Test
		void regardsAProcessThatRegisteredMeanwhileAsReady() throws Exception {
			followAndLoad(row("a"));
			run(this.followed::close);
			followAndLoad(row("a", Json.write(restarted("a"))));
			assertThat(this.followed.standbyCandidates(System.nanoTime())).allMatch(StandbySelector.Candidate::isReady)
				.hasSize(1);
		}

	}

	/** A table that is answered by the test. */
	private static final class HeldTable implements PartitionedTable {

		private final Queue<CompletableFuture<TablePage>> reads = new ConcurrentLinkedQueue<>();

		private final Queue<CompletableFuture<TableChanges>> polls = new ConcurrentLinkedQueue<>();

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			throw new UnsupportedOperationException("not used");
		}

		@Override
		public CompletableFuture<TablePage> read(String table, String partition, String from, int limit) {
			this.reads.add(new CompletableFuture<>());
			return this.reads.peek();
		}

		@Override
		public CompletableFuture<TableChanges> changes(String table, long after, Duration wait) {
			CompletableFuture<TableChanges> poll = new CompletableFuture<>();
			this.polls.add(poll);
			return poll;
		}

	}

}
