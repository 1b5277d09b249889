package org.monsoonrelay.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.ManualExecutor;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.MonotonicInstantSource;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Ownership of racks and queues while schedulers start, stop and freeze, and while the
 * store is unavailable.
 */
class OwnershipTests {

	private static final Duration SESSION_EXPIRY = Duration.ofSeconds(4);

	private static final String QUEUE = TableKeys.QUEUES + "crew";

	private static final Map<String, String> WANTED = Map.of(TableKeys.RACKS + "r1", "north", TableKeys.RACKS + "r2",
			"south", QUEUE, "");

	private final FakeTable table = new FakeTable();

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final Map<String, Instance> instances = new TreeMap<>();

	private Instance start(String name, String domain) {
		Instance instance = new Instance(name, domain);
		this.instances.put(name, instance);
		return instance;
	}

	private void runRounds(int count) {
		for (int index = 0; index < count; index++) {
			this.time.advance(Duration.ofSeconds(1));
			this.instances.values().forEach(Instance::runRound);
		}
	}

	private Ownership owner(String key) {
		return this.table.row(key).map((row) -> Json.read(row.value(), Ownership.class)).orElse(Ownership.NONE);
	}

	private int roundsUntilOwnerIs(String key, String session) {
		int count = 0;
		while (!owner(key).session().equals(session) && count < 100) {
			runRounds(1);
			count++;
		}
		return count;
	}

	@Nested
	class TakeOver {

		@Test
		void followsAKilledOwnerWithinAFewRounds() {
			start("a", "north");
			start("b", "south");
			runRounds(3);
			assertThat(owner(TableKeys.RACKS + "r1")).isEqualTo(new Ownership("a", 1));
			OwnershipTests.this.instances.remove("a");
			assertThat(roundsUntilOwnerIs(TableKeys.RACKS + "r1", "b")).isLessThanOrEqualTo(6);
			assertThat(owner(TableKeys.RACKS + "r1")).isEqualTo(new Ownership("b", 2));
		}

		@Test
		void followsAPlannedStopInOneRound() {
			start("a", "north");
			start("b", "south");
			runRounds(3);
			OwnershipTests.this.instances.remove("a").keeper.release();
			assertThat(roundsUntilOwnerIs(TableKeys.RACKS + "r1", "b")).isOne();
		}

		@Test
		void isConfirmedByReadingWhenItsAnswerIsLost() {
			Instance first = start("a", "north");
			OwnershipTests.this.table.setAnswersLost(true);
			runRounds(2);
			OwnershipTests.this.table.setAnswersLost(false);
			runRounds(2);
			assertThat(first.owned).containsOnlyKeys(WANTED.keySet()).containsValue(1L);
		}

		@Test
		void returnsARackToItsOwnFailureDomain() {
			start("a", "north");
			runRounds(3);
			assertThat(owner(TableKeys.RACKS + "r2").session()).isEqualTo("a");
			Instance near = start("b", "south");
			runRounds(3);
			assertThat(owner(TableKeys.RACKS + "r2")).isEqualTo(new Ownership("b", 2));
			assertThat(near.owned).containsKey(TableKeys.RACKS + "r2");
		}

	}

	@Nested
	class AFrozenScheduler {

		@Test
		void findsInItsFirstRoundThatItOwnsNothing() {
			Instance frozen = start("a", "north");
			start("b", "north");
			runRounds(3);
			OwnershipTests.this.instances.remove("a");
			runRounds(10);
			OwnershipTests.this.instances.put("a", frozen);
			runRounds(1);
			assertThat(frozen.owned).isEmpty();
		}

		@Test
		void doesNotExpireOtherSessionsAfterItsOwnPause() {
			Instance frozen = start("a", "north");
			start("b", "south");
			runRounds(3);
			OwnershipTests.this.instances.remove("a");
			runRounds(60);
			long epoch = owner(TableKeys.RACKS + "r2").epoch();
			OwnershipTests.this.instances.put("a", frozen);
			runRounds(10);
			assertThat(owner(TableKeys.RACKS + "r2")).isEqualTo(new Ownership("b", epoch));
		}

	}

	@Nested
	class ASlowStore {

		@Test
		void stillExpiresAStoppedOwner() {
			start("a", "north");
			start("b", "south");
			runRounds(3);
			OwnershipTests.this.instances.remove("a");
			for (int round = 0; round < 8; round++) {
				OwnershipTests.this.time.advance(Duration.ofSeconds(3));
				OwnershipTests.this.instances.get("b").runRound();
			}
			assertThat(owner(TableKeys.RACKS + "r1").session()).isEqualTo("b");
		}

		@Test
		void changesNoOwnerAfterALongOutage() {
			start("a", "north");
			start("b", "south");
			runRounds(3);
			OwnershipTests.this.table.setDown(true);
			runRounds(600);
			OwnershipTests.this.table.setDown(false);
			OwnershipTests.this.instances.get("b").runRound();
			runRounds(10);
			assertThat(owner(TableKeys.RACKS + "r1")).isEqualTo(new Ownership("a", 1));
			assertThat(owner(TableKeys.RACKS + "r2")).isEqualTo(new Ownership("b", 1));
		}

	}

	@Nested
	class ASlowRenewal {

		// The first one takes the queue over, the second one would end the session of
		// "a".
		@ParameterizedTest
		@CsvSource({ "b, d", "c, x", "m, s", "w, e" })
		void leavesNoQueueWithTwoOwnersWhenItTakesEffectDuringATakeOver(String first, String second) {
			HeldCommits slowTable = new HeldCommits();
			Instance slow = new Instance("a", "north", slowTable);
			OwnershipTests.this.instances.put("a", slow);
			Instance successor = start(first, "south");
			Instance other = start(second, "south");
			runRounds(3);
			slowTable.held = true;
			for (int round = 0; round < 10; round++) {
				OwnershipTests.this.time.advance(Duration.ofSeconds(1));
				slow.runRound();
				successor.runRound();
				slowTable.deliverLast();
				other.runRound();
				slowTable.held = round < 4;
			}
			OwnershipTests.this.instances
				.forEach((name, instance) -> assertThat(instance.owned.containsKey(QUEUE)).as(name)
					.isEqualTo(owner(QUEUE).session().equals(name)));
		}

	}

	@Nested
	class ASlowClaim {

		@Test
		void leavesNoQueueWithTwoOwnersWhenTheFormerOneIsAliveAgainBefore() {
			HeldCommits renewals = new HeldCommits();
			Instance former = new Instance("a", "north", renewals);
			OwnershipTests.this.instances.put("a", former);
			runRounds(3);
			assertThat(former.owned).containsKey(QUEUE);
			HeldCommits claims = new HeldCommits();
			OwnershipTests.this.instances.put("b", new Instance("b", "south", claims));
			runRounds(3);
			renewals.held = true;
			claims.heldKey = QUEUE;
			for (int round = 0; claims.last.isEmpty() && round < 20; round++) {
				runRounds(1);
			}
			assertThat(claims.last).isNotEmpty();
			renewals.held = false;
			claims.heldKey = "none";
			runRounds(5);
			OwnershipTests.this.table.commit(claims.last);
			runRounds(5);
			assertThat(former.owned.containsKey(QUEUE)).isEqualTo(owner(QUEUE).session().equals("a"));
		}

	}

	@Nested
	class Rows {

		@Test
		void ofSessionsGrowWithTheInstancesAndNotWithTheirRestarts() {
			start("stays", "north");
			for (int restart = 0; restart < 50; restart++) {
				Instance instance = start("restart-" + restart, "south");
				runRounds(2);
				OwnershipTests.this.instances.remove("restart-" + restart);
				if (restart % 2 == 0) {
					instance.keeper.release();
				}
				runRounds(8);
			}
			assertThat(OwnershipTests.this.table.rows(TableKeys.SESSIONS)).hasSizeLessThanOrEqualTo(3);
		}

		@Test
		void ofOwnersAreRarelyReadWhileSessionsAreUnchanged() {
			start("a", "north");
			start("b", "south");
			runRounds(10);
			int before = OwnershipTests.this.table.rowsRead();
			runRounds(60);
			int sessionRows = 2 * 2 * 60;
			assertThat(OwnershipTests.this.table.rowsRead() - before - sessionRows).isLessThanOrEqualTo(12);
		}

	}

	@Nested
	class AWallClock {

		@Test
		void thatIsSetBackByYearsDoesNotDelayATakeOver() {
			ManualTime ahead = new ManualTime(Instant.parse("2055-11-07T00:00:00Z"));
			MonotonicInstantSource processTime = new MonotonicInstantSource(ahead, ahead::nanos);
			start("ahead", "north");
			runRounds(3);
			assertThat(owner(TableKeys.RACKS + "r1")).isEqualTo(new Ownership("ahead", 1));
			ahead.setWallClock(Instant.parse("2026-06-01T00:00:00Z"));
			ahead.advance(Duration.ofSeconds(5));
			assertThat(processTime.instant()).isEqualTo(Instant.parse("2055-11-07T00:00:05Z"));
			OwnershipTests.this.instances.remove("ahead").keeper.release();
			start("right", "north");
			assertThat(roundsUntilOwnerIs(TableKeys.RACKS + "r1", "right")).isLessThanOrEqualTo(2);
			assertThat(owner(TableKeys.RACKS + "r1").epoch()).isEqualTo(2);
			List<String> values = OwnershipTests.this.table.rows("").stream().map((row) -> row.value()).toList();
			assertThat(values).noneMatch((value) -> value.contains("2055") || value.contains("2026"));
		}

	}

	private final class Instance {

		private final Map<String, Long> owned = new HashMap<>();

		private final ManualExecutor control = new ManualExecutor();

		private final OwnershipKeeper keeper;

		Instance(String name, String domain) {
			this(name, domain, OwnershipTests.this.table);
		}

		Instance(String name, String domain, TableService table) {
			SessionRecord self = new SessionRecord(name, domain, new HostAddress("10.0.0.2", 7100));
			this.keeper = new OwnershipKeeper(self, table, this.control, OwnershipTests.this.time::nanos,
					SESSION_EXPIRY, (key, ownership, own) -> {
						if (own) {
							this.owned.put(key, ownership.epoch());
						}
						else {
							this.owned.remove(key);
						}
					});
		}

		void runRound() {
			this.keeper.runRound(WANTED);
			this.control.drain();
		}

	}

	/**
	 * The table as one instance reaches it whose commits can be held back.
	 */
	private final class HeldCommits implements TableService {

		private boolean held;

		private String heldKey = "none";

		private List<ConditionalWrite> last = List.of();

		@Override
		public CompletableFuture<Optional<Row>> read(String key) {
			return OwnershipTests.this.table.read(key);
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return OwnershipTests.this.table.scan(prefix, after, limit);
		}

		@Override
		public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
			if (this.held || writes.stream().anyMatch((write) -> write.key().equals(this.heldKey))) {
				this.last = writes;
				return new CompletableFuture<>();
			}
			return OwnershipTests.this.table.commit(writes);
		}

		void deliverLast() {
			boolean isTakeOver = !owner(QUEUE).session().equals("a");
			if (isTakeOver && !this.last.isEmpty()) {
				OwnershipTests.this.table.commit(this.last);
				this.last = List.of();
			}
		}

	}

}
