package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.PoolDecision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A process may own the pool several times. The end of one term does not affect another.
 */
class OwnershipTermsTests {

	private final SimulatedCell cell = new SimulatedCell();

	@Nested
	class AnOwnerThatTakesThePoolOverAgainBeforeItNoticesTheEndOfItsTerm {

		private static final long ANSWER_DELAY_MILLIS = 10_000;

		private SimulatedCell.Scheduler host;

		private List<Decision> eventsAtTakeOver;

		// The last write of its first term is answered only after the second take-over,
		// and
		// no worker tells it of its successor.
		@BeforeEach
		void takeOverTwice() {
			SimulatedCell cell = OwnershipTermsTests.this.cell;
			cell.withWorkers(2);
			this.host = cell.startOwnerAndStandby();
			this.host.tableClient.setAnswerDelay(ANSWER_DELAY_MILLIS);
			cell.time.runFor(500);
			this.host.tableClient.setAnswerDelay(0);
			List.of("w0", "w1").forEach(this.host.workerClient::disconnect);
			runUntilTakenOver(2);
			cell.schedulers.get(1).kill();
			runUntilTakenOver(3);
			this.eventsAtTakeOver = ownershipEvents();
			cell.time.runFor(ANSWER_DELAY_MILLIS);
			List.of("w0", "w1").forEach(this.host.workerClient::reconnect);
			cell.time.runFor(2000);
		}

		private void runUntilTakenOver(int times) {
			for (int millis = 0; millis < ANSWER_DELAY_MILLIS && takeOverCount() < times; millis++) {
				OwnershipTermsTests.this.cell.time.runFor(1);
			}
			assertThat(takeOverCount()).isEqualTo(times);
		}

		private long takeOverCount() {
			return ownershipEvents().stream().filter(PoolDecision.OwnershipTaken.class::isInstance).count();
		}

		@Test
		void startsTasksOnWorkersThatAreListedLater() {
			SimulatedCell cell = OwnershipTermsTests.this.cell;
			cell.workers.crash("w0");
			cell.workers.crash("w1");
			cell.workers.add("later", SimulatedCell.CAPACITY);
			cell.submit("a", SimulatedCell.step(2, false));
			cell.time.runFor(15_000);
			cell.assertCompleted("a");
		}

		@Test
		void isStillTheOwnerOfItsProcess() {
			assertThat(this.host.owner()).isPresent();
			this.host.stop();
			OwnershipTermsTests.this.cell.time.runFor(500);
			assertThat(this.host.owner()).isEmpty();
			assertThat(ownershipEvents()).last().isEqualTo(new PoolDecision.OwnershipLost(300, "given up"));
		}

		@Test
		void awaitsTheReleaseOfThePoolWhenItStops() {
			CompletableFuture<Void> released = this.host.stop();
			assertThat(released).isNotDone();
			OwnershipTermsTests.this.cell.time.runFor(500);
			assertThat(released).isDone();
		}

		@Test
		void endsItsFormerTermAtOnce() {
			assertThat(this.eventsAtTakeOver)
				.endsWith(new PoolDecision.OwnershipLost(100, "this process has taken the pool over again"));
			assertThat(ownershipEvents()).isEqualTo(this.eventsAtTakeOver);
		}

		private List<Decision> ownershipEvents() {
			return OwnershipTermsTests.this.cell.decisions.stream()
				.filter((decision) -> decision instanceof PoolDecision.OwnershipTaken
						|| decision instanceof PoolDecision.OwnershipLost)
				.toList();
		}

	}

	/** Guards against a pool that nobody owns while its row names a process. */
	@Nested
	class ATermThatEndsWhileTheRowNamesItsProcess {

		private static final String REASON = "the term of this process has ended";

		private void startHosts(int count) {
			SimulatedCell cell = OwnershipTermsTests.this.cell.withWorkers(2);
			for (int i = 0; i < count; i++) {
				cell.addScheduler();
				cell.time.runFor(500);
			}
		}

		@ParameterizedTest
		@ValueSource(ints = { 1, 2, 3 })
		void isFollowedByAnotherTerm(int hosts) {
			SimulatedCell cell = OwnershipTermsTests.this.cell;
			startHosts(hosts);
			cell.submit("a", SimulatedCell.step(2, false), SimulatedCell.step(2, false, 0));
			cell.time.runFor(700);
			cell.owner().owner().orElseThrow().endTerm("a worker obeys a later owner");
			assertThat(cell.hasOwner()).isFalse();
			cell.time.runFor(500);
			assertThat(cell.hasOwner()).isTrue();
			cell.time.runFor(3000);
			cell.assertCompleted("a");
			assertThat(cell.decisions).filteredOn(PoolDecision.OwnershipTaken.class::isInstance)
				.last()
				.extracting((taken) -> ((PoolDecision.OwnershipTaken) taken).reason())
				.isEqualTo(REASON);
		}

		@Test
		void isNotFollowedByAnotherOneIfTheRowNamesAnotherProcessByThen() {
			SimulatedCell cell = OwnershipTermsTests.this.cell;
			startHosts(2);
			SimulatedCell.Scheduler former = cell.owner();
			former.process.suspend();
			cell.time.runFor(2 * OwnerLease.EXPIRY_MILLIS);
			SimulatedCell.Scheduler next = cell.schedulers.get(1);
			assertThat(next.owner()).isPresent();
			former.process.resume();
			cell.time.runFor(5000);
			assertThat(former.owner()).isEmpty();
			assertThat(next.owner()).isPresent();
		}

		@Test
		void isNotFollowedByAnotherOneInAProcessThatStops() {
			startHosts(1);
			SimulatedCell cell = OwnershipTermsTests.this.cell;
			SimulatedCell.Scheduler only = cell.owner();
			only.stop();
			cell.time.runFor(5000);
			assertThat(only.owner()).isEmpty();
		}

	}

	@Nested
	class TheReleaseOfAProcess {

		private SimulatedCell.Scheduler host;

		@BeforeEach
		void startOwner() {
			this.host = OwnershipTermsTests.this.cell.withWorkers(1).startOwnerAndStandby();
		}

		@Test
		void isCompleteOnceThePoolIsReleased() {
			CompletableFuture<Void> released = this.host.stop();
			assertThat(released).isNotDone();
			OwnershipTermsTests.this.cell.time.runFor(500);
			assertThat(released).isDone();
		}

		@Test
		void isCompleteAtOnceIfItOwnsNothing() {
			assertThat(OwnershipTermsTests.this.cell.schedulers.get(1).stop()).isDone();
		}

	}

	@Nested
	class ATakeOverThatTakesEffectWithoutAnAnswer {

		private static final long OUTAGE_MILLIS = 3000;

		@Test
		void isFollowedByAnotherOneOfTheSameProcess() {
			SimulatedCell cell = OwnershipTermsTests.this.cell;
			cell.withWorkers(1);
			cell.table.setDropsAnswers(true);
			cell.addScheduler();
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(OUTAGE_MILLIS);
			assertThat(cell.hasOwner()).isFalse();
			cell.table.setDropsAnswers(false);
			cell.time.runFor(OwnerLease.EXPIRY_MILLIS);
			assertThat(cell.hasOwner()).isTrue();
			cell.time.runFor(2 * SimulatedCell.RUN_MILLIS);
			cell.assertCompleted("a");
		}

	}

}
