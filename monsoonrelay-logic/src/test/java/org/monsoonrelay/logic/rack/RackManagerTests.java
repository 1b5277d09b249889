package org.monsoonrelay.logic.rack;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualExecutor;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the rack owner when workers become unresponsive, restart, lose responses or
 * receive commands late, and when the ownership changes.
 */
class RackManagerTests {

	private static final AttemptId ATTEMPT = CellData.attempt("wages", 1);

	private static final WorkerId WORKER = new WorkerId("w1");

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final ManualExecutor control = new ManualExecutor();

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeWorkers.FakeWorker worker = this.workers.worker("w1");

	private RackManager racks = newOwner();

	private RackManager newOwner() {
		return new RackManager(this.workers, this.control, this.time, this.time::nanos, Duration.ofSeconds(3));
	}

	@BeforeEach
	void ownTheRack() {
		takeOver(1);
	}

	private void takeOver(long epoch) {
		this.racks.update(CellData.hosts(1, CellData.worker("w1", "r1")));
		this.racks.acquireOwnership("r1", epoch);
		sendHeartbeats();
	}

	private void sendHeartbeats() {
		this.racks.sendHeartbeats();
		this.control.drain();
	}

	private List<Reservation> reserve(AttemptId attempt, boolean startAtOnce) {
		return this.racks.reserve(new ReservationRequest("r1", CellData.TEAM, WorkloadKind.BATCH, CellData.TASK, 0,
				List.of(attempt), startAtOnce, this.time.instant().plusSeconds(5)));
	}

	private void startAttempt(AttemptId attempt) {
		reserve(attempt, true);
		this.racks.sendUrgentCommands();
		this.control.drain();
	}

	private List<AttemptEventKind> eventKinds() {
		return this.racks.unacknowledgedEvents()
			.values()
			.stream()
			.flatMap(List::stream)
			.map(AttemptEvent::kind)
			.toList();
	}

	private void acknowledgeAll() {
		this.racks.unacknowledgedEvents()
			.values()
			.stream()
			.flatMap(List::stream)
			.toList()
			.forEach(this.racks::acknowledge);
	}

	private void advanceSeconds(int seconds) {
		this.time.advance(Duration.ofSeconds(seconds));
		sendHeartbeats();
	}

	@Nested
	class AnUnresponsiveWorker {

		@Test
		void producesNoEventForAnExpiredReservation() {
			RackManagerTests.this.worker.setUnreachable(true);
			reserve(ATTEMPT, false);
			advanceSeconds(3);
			advanceSeconds(3);
			assertThat(eventKinds()).isEmpty();
		}

		@Test
		void isReportedToAQueueOwnerThatResolvesItsAttempt() {
			startAttempt(ATTEMPT);
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			advanceSeconds(3);
			assertThat(eventKinds()).isEmpty();
			RackManagerTests.this.racks.resolve(ATTEMPT, WORKER, CellData.TEAM);
			assertThat(eventKinds()).containsExactly(AttemptEventKind.LAPSED);
		}

		@Test
		void reportsItsRunningAttemptOnceItIsReachableAgain() {
			startAttempt(ATTEMPT);
			acknowledgeAll();
			RackManagerTests.this.worker.setUnreachable(true);
			advanceSeconds(3);
			assertThat(eventKinds()).containsExactly(AttemptEventKind.LAPSED);
			RackManagerTests.this.worker.setUnreachable(false);
			advanceSeconds(1);
			assertThat(eventKinds()).containsExactly(AttemptEventKind.RUNNING);
		}

		@Test
		void completesItsPendingStopsWhenItsHostIsRemoved() {
			RackManagerTests.this.racks.resolve(ATTEMPT, WORKER, CellData.TEAM);
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks.update(CellData.hosts(2));
			assertThat(eventKinds()).containsExactly(AttemptEventKind.GONE);
		}

		@Test
		void isNotRemovedByAnOlderHostList() {
			startAttempt(ATTEMPT);
			acknowledgeAll();
			RackManagerTests.this.racks.update(CellData.hosts(0));
			assertThat(eventKinds()).isEmpty();
		}

	}

	@Nested
	class AnUnacknowledgedEnd {

		@BeforeEach
		void endTheTask() {
			startAttempt(ATTEMPT);
			RackManagerTests.this.worker.endAll(AttemptPhase.FINISHED);
			sendHeartbeats();
			assertThat(eventKinds()).containsExactly(AttemptEventKind.FINISHED);
		}

		@Test
		void isKeptWhenTheWorkerRestarts() {
			RackManagerTests.this.worker.restart();
			sendHeartbeats();
			RackManagerTests.this.racks.resolve(ATTEMPT, WORKER, CellData.TEAM);

			assertThat(eventKinds()).containsExactly(AttemptEventKind.FINISHED);
		}

		@Test
		void isKeptWhenTheWorkerBecomesUnresponsive() {
			RackManagerTests.this.worker.setUnreachable(true);
			advanceSeconds(3);
			RackManagerTests.this.racks.resolve(ATTEMPT, WORKER, CellData.TEAM);

			assertThat(eventKinds()).containsExactly(AttemptEventKind.FINISHED);
		}

	}

	@Nested
	class Commands {

		@Test
		void addedWhileAnotherIsInFlightAreSentAfterIt() {
			RackManagerTests.this.racks.sendHeartbeats();
			reserve(ATTEMPT, true);
			RackManagerTests.this.racks.sendUrgentCommands();
			RackManagerTests.this.control.drain();
			RackManagerTests.this.racks.sendUrgentCommands();
			RackManagerTests.this.control.drain();
			assertThat(RackManagerTests.this.workers.running()).containsExactly(ATTEMPT);
		}

		@Test
		void whoseResponseIsLostAreSentAgainAndTakeEffectOnce() {
			RackManagerTests.this.worker.setAnswersLost(true);
			startAttempt(ATTEMPT);
			RackManagerTests.this.worker.setAnswersLost(false);
			advanceSeconds(1);
			assertThat(eventKinds()).containsExactly(AttemptEventKind.RUNNING);
			assertThat(RackManagerTests.this.workers.runs().values()).containsExactly(1);
		}

		@Test
		void toStopTakePrecedenceOverADelayedStart() {
			RackManagerTests.this.worker.setCommandsLate(true);
			startAttempt(ATTEMPT);
			RackManagerTests.this.racks.stop(ATTEMPT, WORKER, CellData.TEAM);
			RackManagerTests.this.worker.setCommandsLate(false);
			advanceSeconds(1);
			assertThat(eventKinds()).containsExactly(AttemptEventKind.GONE);
			acknowledgeAll();
			advanceSeconds(1);
			RackManagerTests.this.worker.deliverLateCommands();
			assertThat(RackManagerTests.this.workers.runs()).isEmpty();
		}

		@Test
		void forAnEarlierIncarnationAreIgnoredByTheNextOne() {
			RackManagerTests.this.worker.setCommandsLate(true);
			startAttempt(ATTEMPT);
			RackManagerTests.this.worker.setCommandsLate(false);
			RackManagerTests.this.worker.restart();
			advanceSeconds(1);
			assertThat(eventKinds()).containsExactly(AttemptEventKind.GONE);
			RackManagerTests.this.worker.deliverLateCommands();
			assertThat(RackManagerTests.this.workers.runs()).isEmpty();
		}

		@Test
		void toStopAreForgottenAfterTheirAcknowledgement() {
			startAttempt(ATTEMPT);
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks.stop(ATTEMPT, WORKER, CellData.TEAM);
			RackManagerTests.this.worker.restart();
			RackManagerTests.this.worker.setUnreachable(false);
			advanceSeconds(1);
			acknowledgeAll();
			advanceSeconds(1);
			advanceSeconds(1);
			assertThat(RackManagerTests.this.worker.known()).isEmpty();
		}

	}

	@Nested
	class ALateReportOfARemovedHost {

		@Test
		void doesNotReplaceTheEndOfItsAttempts() {
			startAttempt(ATTEMPT);
			acknowledgeAll();
			RackManagerTests.this.racks.sendHeartbeats();
			RackManagerTests.this.racks.update(CellData.hosts(2));
			assertThat(eventKinds()).containsExactly(AttemptEventKind.GONE);

			RackManagerTests.this.control.drain();

			assertThat(eventKinds()).containsExactly(AttemptEventKind.GONE);
		}

	}

	@Nested
	class ARackTakenOver {

		@Test
		void withAHigherEpochDropsTheReservationsOfTheFormerOne() {
			reserve(ATTEMPT, false);
			RackManagerTests.this.racks.acquireOwnership("r1", 3);
			assertThat(reserve(ATTEMPT, false)).isEmpty();
		}

		@Test
		void isReleasedByTheFormerOwnerAfterItsNextCommand() {
			RackManager former = RackManagerTests.this.racks;
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			RackManagerTests.this.racks = former;
			startAttempt(ATTEMPT);
			assertThat(RackManagerTests.this.workers.runs()).isEmpty();
			assertThat(former.summaries()).isEmpty();
		}

		@Test
		void hasNoAttemptOfItsNextOwnerDeclaredGoneByTheFormerOne() {
			RackManager former = RackManagerTests.this.racks;
			RackManagerTests.this.worker.restart();
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			startAttempt(ATTEMPT);
			assertThat(RackManagerTests.this.workers.running()).containsExactly(ATTEMPT);
			RackManagerTests.this.racks = former;
			former.resolve(ATTEMPT, WORKER, CellData.TEAM);
			assertThat(eventKinds()).isEmpty();
			sendHeartbeats();
			assertThat(eventKinds()).isEmpty();
			assertThat(former.summaries()).isEmpty();
			assertThat(RackManagerTests.this.workers.running()).containsExactly(ATTEMPT);
		}

		@Test
		void placesNothingOnAWorkerBeforeItsReport() {
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			assertThat(reserve(ATTEMPT, true)).isEmpty();
		}

	}

}
