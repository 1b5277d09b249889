package org.monsoonrelay.logic.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.model.control.EditKind;

import static org.assertj.core.api.Assertions.assertThat;

class VersionFollowerTests {

	private final FakePlatform platform = new FakePlatform();

	private final ControlLog log = new ControlLog(this.platform, this.platform, () -> Instant.EPOCH);

	private final Node node = new Node();

	private void edit(String cell) {
		String text = "{\"cell\": \"" + cell
				+ "\", \"teams\": [{\"name\": \"crew\", \"weight\": 1, \"quota\": {\"processors\": 1, \"memoryMiB\": 1, "
				+ "\"accelerators\": 0}}]}";
		Edit edit = new Edit(cell, EditKind.APPLY, "ana", text, List.of(), OptionalLong.empty());
		assertThat(this.log.submit(edit).join()).isInstanceOf(EditOutcome.Accepted.class);
	}

	@Nested
	class FromThePlatform {

		@Test
		void acceptedVersionIsInForceAfterOnePoll() {
			edit("first");
			VersionFollowerTests.this.node.follower.poll();

			assertThat(VersionFollowerTests.this.node.cell()).isEqualTo("first");
		}

		@Test
		void staleReadOfTheHeadNeverRevertsAVersion() {
			edit("first");
			Optional<Row> old = VersionFollowerTests.this.platform.row(TableKeys.HEAD);
			edit("second");
			Node node = VersionFollowerTests.this.node;
			node.follower.poll();
			VersionFollowerTests.this.platform.nextReadIsStale(TableKeys.HEAD, old);
			node.follower.poll();

			assertThat(node.cell()).isEqualTo("second");
			assertThat(node.versions).containsExactly(2L);
		}

		@Test
		void lateAnswerOfAPeerNeverRevertsAVersion() {
			edit("first");
			Node node = VersionFollowerTests.this.node;
			ControlVersion first = new Node().pollVersion();
			CompletableFuture<ControlVersion> late = new CompletableFuture<>();
			node.follower.handleAnnouncement(1, () -> late);
			edit("second");
			node.follower.poll();
			late.complete(first);

			assertThat(node.cell()).isEqualTo("second");
			assertThat(node.versions).containsExactly(2L);
		}

		@Test
		void exceptionOfTheClientDoesNotStopPolling() {
			edit("first");
			FakePlatform platform = VersionFollowerTests.this.platform;
			platform.throwsOnRead = true;
			VersionFollowerTests.this.node.follower.poll();
			platform.throwsOnRead = false;
			VersionFollowerTests.this.node.follower.poll();

			assertThat(VersionFollowerTests.this.node.cell()).isEqualTo("first");
		}

	}

	@Nested
	class FromPeers {

		@Test
		void processRestartedDuringAnOutageAdoptsTheHighestVersionOfAnyPeer() {
			edit("first");
			ControlVersion first = new Node().pollVersion();
			edit("second");
			ControlVersion second = new Node().pollVersion();
			VersionFollowerTests.this.platform.down = true;
			Node restarted = VersionFollowerTests.this.node;
			restarted.follower.poll();
			restarted.receiveAnnouncement(first);
			restarted.receiveAnnouncement(second);
			restarted.receiveAnnouncement(first);

			assertThat(restarted.cell()).isEqualTo("second");
			assertThat(restarted.versions).containsExactly(1L, 2L);
		}

		@Test
		void partitionedDomainContinuesAndAdoptsTheNewVersionAfterRecovery() {
			edit("first");
			Node partitioned = VersionFollowerTests.this.node;
			partitioned.follower.poll();
			VersionFollowerTests.this.platform.down = true;
			partitioned.follower.poll();
			assertThat(partitioned.cell()).isEqualTo("first");
			VersionFollowerTests.this.platform.down = false;
			edit("second");
			partitioned.follower.poll();

			assertThat(partitioned.cell()).isEqualTo("second");
			assertThat(partitioned.versions).containsExactly(1L, 2L);
		}

		@Test
		void onlyOneFetchIsInFlightAndTheNextAnnouncementRetries() {
			edit("first");
			ControlVersion first = new Node().pollVersion();
			Node node = VersionFollowerTests.this.node;
			List<CompletableFuture<ControlVersion>> fetches = new ArrayList<>();
			for (int peer = 0; peer < 3; peer++) {
				node.follower.handleAnnouncement(1, () -> node.fetch(fetches));
			}
			assertThat(fetches).hasSize(1);
			fetches.get(0).completeExceptionally(new PlatformException("the peer is gone", false, null));
			node.follower.handleAnnouncement(1, () -> {
				throw new IllegalStateException("the network is closing");
			});
			node.follower.handleAnnouncement(1, () -> node.fetch(fetches));
			fetches.get(1).complete(first);

			assertThat(node.cell()).isEqualTo("first");
		}

		@Test
		void anEqualOrLowerVersionIsNotFetched() {
			edit("first");
			Node node = VersionFollowerTests.this.node;
			node.follower.poll();
			List<CompletableFuture<ControlVersion>> fetches = new ArrayList<>();
			node.follower.handleAnnouncement(1, () -> node.fetch(fetches));

			assertThat(fetches).isEmpty();
		}

	}

	/**
	 * One process with its active version and all versions that were ever active in it.
	 */
	private final class Node {

		private final ControlTracker tracker = new ControlTracker();

		private final VersionFollower follower = new VersionFollower(VersionFollowerTests.this.log, this.tracker);

		private final List<Long> versions = new ArrayList<>();

		Node() {
			this.tracker.onChange((next) -> this.versions.add(next.head().version()));
		}

		ControlVersion pollVersion() {
			this.follower.poll();
			ActiveControlState active = this.tracker.activeState();
			return new ControlVersion(active.head(), active.state());
		}

		void receiveAnnouncement(ControlVersion version) {
			this.follower.handleAnnouncement(version.head().version(),
					() -> CompletableFuture.completedFuture(version));
		}

		CompletableFuture<ControlVersion> fetch(List<CompletableFuture<ControlVersion>> fetches) {
			fetches.add(new CompletableFuture<>());
			return fetches.get(fetches.size() - 1);
		}

		String cell() {
			return this.tracker.activeState().text().cell();
		}

	}

}
