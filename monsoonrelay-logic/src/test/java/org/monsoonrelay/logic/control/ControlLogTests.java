package org.monsoonrelay.logic.control;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.control.EditOutcome.Accepted;
import org.monsoonrelay.logic.control.EditOutcome.Conflict;
import org.monsoonrelay.logic.control.EditOutcome.Invalid;
import org.monsoonrelay.logic.control.EditOutcome.Unavailable;
import org.monsoonrelay.logic.control.EditOutcome.Unsettled;
import org.monsoonrelay.logic.control.FakePlatform.CommitFault;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;
import org.monsoonrelay.model.control.EditResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

class ControlLogTests {

	private static final int MAX_BYTES_PER_DECLARATION = 30;

	private final FakePlatform platform = new FakePlatform();

	private final ControlLog log = new ControlLog(this.platform, this.platform, () -> Instant.EPOCH);

	private static String text(String... runs) {
		StringBuilder batch = new StringBuilder();
		for (String run : runs) {
			batch.append(batch.isEmpty() ? "" : ",").append("""
					{"name": "%s", "run": "r1", "team": "crew", "tasks": 1, "runMillis": 1, "once": true,
					"size": {"processors": 1, "memoryMiB": 1, "accelerators": 0}}""".formatted(run));
		}
		return """
				{"cell": "c", "batchRuns": [%s], "teams": [{"name": "crew", "weight": 1,
				"quota": {"processors": 9, "memoryMiB": 9, "accelerators": 0}}]}""".formatted(batch);
	}

	private static Edit apply(String id, String operator, long expected, String... runs) {
		return new Edit(id, EditKind.APPLY, operator, text(runs), List.of(), OptionalLong.of(expected));
	}

	private static Edit edit(String id, EditKind kind, String... targets) {
		return new Edit(id, kind, "ana", "", List.of(targets), OptionalLong.empty());
	}

	private EditOutcome submit(Edit edit) {
		return this.log.submit(edit).join();
	}

	private ControlState activeState() {
		return this.log.head().thenCompose(this.log::state).join();
	}

	@Nested
	class TwoOperators {

		@Test
		void secondGetsAConflictThatNamesTheWinnersEdit() {
			ControlLogTests.this.platform.beforeNextCommit(() -> submit(apply("b", "biju", 0, "allocation")));

			EditOutcome outcome = submit(apply("a", "ana", 0, "roster"));

			assertThat(outcome).isInstanceOfSatisfying(Conflict.class, (conflict) -> {
				assertThat(conflict.winner().editId()).isEqualTo("b");
				assertThat(conflict.winner().operator()).isEqualTo("biju");
			});
			assertThat(activeState().text()).isEqualTo(text("allocation"));
		}

		@Test
		void cancellationAndStopAreRetriedAfterATextThatWasAcceptedFirst() {
			submit(apply("a", "ana", 0, "roster"));
			ControlLogTests.this.platform.beforeNextCommit(() -> submit(apply("b", "biju", 1, "roster", "allocation")));

			assertThat(submit(edit("c", EditKind.CANCEL, "roster@r1"))).isEqualTo(new Accepted(3));
			assertThat(submit(edit("d", EditKind.STOP, "allocation"))).isEqualTo(new Accepted(4));
			assertThat(activeState().cancelled()).containsExactly("roster@r1");
			assertThat(activeState().text()).isEqualTo(text("roster", "allocation"));
		}

		@Test
		void concurrentCancellationIsNoConflictForAText() {
			submit(apply("a", "ana", 0, "roster"));
			ControlLogTests.this.platform.beforeNextCommit(() -> submit(edit("c", EditKind.CANCEL, "roster@r1")));

			assertThat(submit(apply("b", "biju", 1, "roster", "allocation"))).isEqualTo(new Accepted(3));
			assertThat(activeState().cancelled()).containsExactly("roster@r1");
		}

		@Test
		void staleReadOfTheHeadDoesNotNameAWrongWinner() {
			submit(apply("a", "ana", 0, "roster"));
			Optional<Row> old = ControlLogTests.this.platform.row(TableKeys.HEAD);
			submit(apply("b", "biju", 1, "allocation"));
			ControlLogTests.this.platform.nextReadIsStale(TableKeys.HEAD, old);

			assertThat(submit(apply("c", "ana", 2, "roster"))).isEqualTo(new Accepted(3));
		}

	}

	@Nested
	class LostAnswer {

		@Test
		void isResolvedByReadingBack() {
			ControlLogTests.this.platform.failNextCommit(CommitFault.ANSWER_LOST);

			assertThat(submit(apply("a", "ana", 0, "roster"))).isEqualTo(new Accepted(1));
			assertThat(ControlLogTests.this.platform.commits).isOne();
		}

		@Test
		void isResolvedAlthoughAnotherEditWasAcceptedSince() {
			ControlLogTests.this.platform.failNextCommit(CommitFault.ANSWER_LOST_THEN_DOWN);
			assertThat(submit(apply("a", "ana", 0, "roster"))).isInstanceOf(Unsettled.class);
			ControlLogTests.this.platform.down = false;
			submit(apply("b", "biju", 1, "allocation"));

			assertThat(submit(apply("a", "ana", 0, "roster"))).isEqualTo(new Accepted(1));
			assertThat(activeState().text()).isEqualTo(text("allocation"));
		}

		@Test
		void repeatOfAStopDoesNotStopAgainWhatALaterTextStarted() {
			submit(apply("a", "ana", 0, "roster"));
			submit(edit("s", EditKind.STOP, "roster"));
			submit(apply("b", "biju", 1, "roster"));

			assertThat(submit(edit("s", EditKind.STOP, "roster"))).isEqualTo(new Accepted(2));
			assertThat(activeState().stopped()).isEmpty();
		}

		@Test
		void writeThatTakesEffectLateIsNeverReportedAsWithoutEffect() {
			ControlLogTests.this.platform.failNextCommit(CommitFault.DELAYED);

			EditOutcome outcome = submit(apply("a", "ana", 0, "roster"));
			ControlLogTests.this.platform.applyDelayedCommits();

			assertThat(outcome).isEqualTo(new Accepted(1));
			assertThat(activeState().text()).isEqualTo(text("roster"));
			assertThat(ControlLogTests.this.platform.rows(TableKeys.EDITS)).hasSize(1);
		}

		@Test
		void anotherEditAtTheSameVersionMeansThatTheFirstHadNoEffect() {
			ControlLogTests.this.platform.failNextCommit(CommitFault.DELAYED);
			ControlLogTests.this.platform.failNextCommit(CommitFault.DELAYED);
			ControlLogTests.this.platform.failNextCommit(CommitFault.DELAYED);
			EditOutcome first = submit(apply("a", "ana", 0, "roster"));
			submit(apply("b", "biju", 0, "allocation"));
			ControlLogTests.this.platform.applyDelayedCommits();

			assertThat(first).isInstanceOf(Unsettled.class);
			assertThat(submit(apply("a", "ana", 0, "roster"))).isInstanceOf(Conflict.class);
			assertThat(activeState().text()).isEqualTo(text("allocation"));
		}

		@Test
		void definiteRejectionIsReportedAsWithoutEffect() {
			ControlLogTests.this.platform.failNextCommit(CommitFault.REFUSED);

			assertThat(submit(apply("a", "ana", 0, "roster"))).isInstanceOf(Unavailable.class);
			assertThat(ControlLogTests.this.platform.rows("")).isEmpty();
		}

	}

	@Nested
	class Rejections {

		@Test
		void unknownNamesAreRejectedWithTheirPointer() {
			submit(apply("a", "ana", 0, "roster"));

			assertThat(submit(edit("b", EditKind.STOP, "roster", "rooster"))).isInstanceOfSatisfying(Invalid.class,
					(invalid) -> assertThat(invalid.faults()).singleElement()
						.hasToString("/targets/1: 'rooster' is not declared in the text in force"));
			assertThat(submit(edit("c", EditKind.CANCEL, "roster@r2"))).isInstanceOf(Invalid.class);
			assertThat(submit(edit("d", EditKind.CANCEL, "roster@r1"))).isEqualTo(new Accepted(2));
			assertThat(submit(edit("e", EditKind.CANCEL, "roster@r1"))).isEqualTo(new Accepted(2));
		}

	}

	@Nested
	class Audit {

		@Test
		void everyDecidedEditLeavesOneEntryAndNoneIsEverChanged() {
			submit(apply("a", "ana", 0, "roster"));
			submit(apply("b", "biju", 0, "allocation"));
			submit(edit("c", EditKind.STOP, "rooster"));
			List<Row> before = ControlLogTests.this.platform.rows(TableKeys.EDITS);
			submit(edit("d", EditKind.CANCEL, "roster@r1"));

			assertThat(page("", 9).entries())
				.extracting(EditRecord::operator, EditRecord::kind, EditRecord::version, EditRecord::result)
				.containsExactly(tuple("ana", EditKind.APPLY, 1L, EditResult.ACCEPTED),
						tuple("biju", EditKind.APPLY, 1L, EditResult.CONFLICT),
						tuple("ana", EditKind.STOP, 1L, EditResult.REFUSED),
						tuple("ana", EditKind.CANCEL, 2L, EditResult.ACCEPTED));
			assertThat(ControlLogTests.this.platform.rows(TableKeys.EDITS)).containsAll(before);
		}

		@Test
		void pagesFollowEachOtherWithoutGapOrRepeat() {
			submit(apply("a", "ana", 0, "roster"));
			submit(edit("b", EditKind.STOP, "rooster"));
			submit(edit("c", EditKind.CANCEL, "roster@r1"));

			AuditPage first = page("", 2);
			AuditPage second = page(first.next(), 2);

			assertThat(first.entries()).extracting(EditRecord::editId).containsExactly("a", "b");
			assertThat(second.entries()).extracting(EditRecord::editId).containsExactly("c");
			assertThat(second.next()).isEmpty();
			assertThat(page("1", 9).entries()).extracting(EditRecord::editId).containsExactly("b", "c");
		}

		@Test
		void filtersByOperatorAndKind() {
			submit(apply("a", "ana", 0, "roster"));
			submit(apply("b", "biju", 1, "roster", "allocation"));
			submit(edit("c", EditKind.STOP, "roster"));

			assertThat(filtered(Optional.of("ana"), Optional.empty())).containsExactly("a", "c");
			assertThat(filtered(Optional.of("ana"), Optional.of(EditKind.STOP))).containsExactly("c");
		}

		private AuditPage page(String after, int limit) {
			return ControlLogTests.this.log.audit(new AuditQuery(after, Optional.empty(), Optional.empty(), limit))
				.join();
		}

		private List<String> filtered(Optional<String> operator, Optional<EditKind> kind) {
			return ControlLogTests.this.log.audit(new AuditQuery("", operator, kind, 9))
				.join()
				.entries()
				.stream()
				.map(EditRecord::editId)
				.toList();
		}

	}

	@Nested
	class Cost {

		@Test
		void changeCostsOneTransactionOneObjectAndThreeReads() {
			submit(apply("a", "ana", 0, "roster"));
			FakePlatform platform = ControlLogTests.this.platform;
			int reads = platform.reads;

			submit(edit("b", EditKind.CANCEL, "roster@r1"));

			assertThat(platform.commits).isEqualTo(2);
			assertThat(platform.puts).isEqualTo(2);
			assertThat(platform.reads - reads).isEqualTo(3);
			assertThat(platform.bytesWritten).isLessThan(2 * 1000);
		}

		@Test
		void objectThatEveryProcessFetchesGrowsByAFewBytesADeclaration() {
			int small = objectBytes(100);
			int large = objectBytes(1100);

			assertThat((large - small) / 1000).isLessThan(MAX_BYTES_PER_DECLARATION);
		}

		private int objectBytes(int declarations) {
			FakePlatform platform = new FakePlatform();
			ControlLog empty = new ControlLog(platform, platform, () -> Instant.EPOCH);
			String[] names = IntStream.range(0, declarations)
				.mapToObj((index) -> "run-" + index)
				.toArray(String[]::new);
			empty.submit(apply("a", "ana", 0, names)).join();
			return platform.objects.values().iterator().next().length();
		}

	}

}
