package org.monsoonrelay.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.ManualExecutor;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Answers of the table that arrive after later ones: the calls took effect in the order
 * in which they were sent.
 */
class LateAnswersTests {

	private static final String QUEUE = TableKeys.QUEUES + "crew";

	private static final Map<String, String> WANTED = Map.of(QUEUE, "");

	private static final SessionRecord SELF = session("self");

	private static final SessionRecord OTHER = session("other");

	private final FakeTable rows = new FakeTable();

	private final HeldAnswers table = new HeldAnswers();

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final ManualExecutor control = new ManualExecutor();

	private final Map<String, Long> owned = new HashMap<>();

	private final OwnershipKeeper keeper = new OwnershipKeeper(SELF, this.table, this.control, this.time::nanos,
			Duration.ofSeconds(4), (key, ownership, own) -> {
				if (own) {
					this.owned.put(key, ownership.epoch());
				}
				else {
					this.owned.remove(key);
				}
			});

	private static SessionRecord session(String name) {
		return new SessionRecord(name, "north", new HostAddress("10.0.0.2", 7100));
	}

	private void runRound() {
		this.time.advance(Duration.ofSeconds(1));
		this.keeper.runRound(WANTED);
		this.control.drain();
	}

	private void deliverHeldAnswer() {
		this.table.held.remove().run();
		this.control.drain();
	}

	private void write(String key, Object value) {
		long version = this.rows.row(key).map(Row::version).orElse(ConditionalWrite.ABSENT);
		this.rows.commit(List.of(new ConditionalWrite(key, Json.write(value), version)));
	}

	private long epoch() {
		return this.rows.row(QUEUE).map((row) -> Json.read(row.value(), Ownership.class).epoch()).orElse(0L);
	}

	@Nested
	class AReadOfTheOwners {

		@Test
		void endsNoOwnershipThatWasClaimedAfterIt() {
			runRound();
			LateAnswersTests.this.table.holdsOwners = true;
			runRound();
			LateAnswersTests.this.table.holdsOwners = false;
			runRound();
			assertThat(LateAnswersTests.this.owned).containsEntry(QUEUE, 1L);

			deliverHeldAnswer();

			assertThat(LateAnswersTests.this.owned).containsEntry(QUEUE, 1L);
		}

		@Test
		void fromBeforeTheEndOfTheSessionDoesNotHideWhatItOwnedAtItsEnd() {
			runRound();
			LateAnswersTests.this.table.holdsOwners = true;
			runRound();
			LateAnswersTests.this.table.holdsOwners = false;
			runRound();
			write(TableKeys.SESSIONS + SELF.session(), SELF.asEnded());
			LateAnswersTests.this.table.holdsOwners = true;
			runRound();
			deliverHeldAnswer();
			LateAnswersTests.this.table.holdsOwners = false;
			deliverHeldAnswer();
			runRound();

			assertThat(epoch()).isEqualTo(2);
			assertThat(LateAnswersTests.this.owned).containsEntry(QUEUE, 2L);
		}

	}

	@Nested
	class AClaim {

		@Test
		void bringsNoOwnershipBackThatAnotherSessionHasTakenOverSince() {
			runRound();
			LateAnswersTests.this.table.holdsClaims = true;
			runRound();
			assertThat(epoch()).isOne();
			write(QUEUE, new Ownership(OTHER.session(), 2));
			write(TableKeys.SESSIONS + OTHER.session(), OTHER);
			runRound();

			deliverHeldAnswer();

			assertThat(LateAnswersTests.this.owned).isEmpty();
		}

	}

	/** A table whose answers can be held back after the call took effect. */
	private final class HeldAnswers implements TableService {

		private final Queue<Runnable> held = new ArrayDeque<>();

		private boolean holdsOwners;

		private boolean holdsClaims;

		@Override
		public CompletableFuture<Optional<Row>> read(String key) {
			return LateAnswersTests.this.rows.read(key);
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			boolean isHeld = this.holdsOwners && prefix.equals(TableKeys.OWNERS);
			return answer(LateAnswersTests.this.rows.scan(prefix, after, limit), isHeld);
		}

		@Override
		public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
			boolean isHeld = this.holdsClaims && writes.stream().anyMatch((write) -> write.key().equals(QUEUE));
			return answer(LateAnswersTests.this.rows.commit(writes), isHeld);
		}

		private <T> CompletableFuture<T> answer(CompletableFuture<T> answer, boolean isHeld) {
			if (!isHeld) {
				return answer;
			}
			CompletableFuture<T> late = new CompletableFuture<>();
			this.held.add(() -> late.complete(answer.join()));
			return late;
		}

	}

}
