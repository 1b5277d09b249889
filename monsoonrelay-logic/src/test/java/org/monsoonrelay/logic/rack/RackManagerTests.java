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
 * Faults between a rack's owner and its workers.
 */
class RackManagerTests {

	private static final AttemptId FIRST = CellData.attempt("wages", 1);

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
		heartbeat();
	}

	private void heartbeat() {
		this.racks.sendHeartbeats();
		this.control.drain();
	}

	private List<Reservation> reserve(AttemptId attempt, boolean atOnce) {
		return this.racks.reserve(new ReservationRequest("r1", CellData.TEAM, WorkloadKind.BATCH, CellData.TASK, 0,
				List.of(attempt), atOnce, this.time.instant().plusSeconds(5)));
	}

	private void run(AttemptId attempt) {
		reserve(attempt, true);
		this.racks.sendUrgentCommands();
		this.control.drain();
	}

	private List<AttemptEventKind> events() {
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

	private void pass(int seconds) {
		this.time.advance(Duration.ofSeconds(seconds));
		heartbeat();
	}

	@Nested
	class ASilentWorker {

		@Test
		void whoseReservationLapsesLeavesNoEventBehind() {
			RackManagerTests.this.worker.setUnreachable(true);
			reserve(FIRST, false);
			pass(3);
			pass(3);
			assertThat(events()).isEmpty();
		}

		@Test
		void isToldToAQueueOwnerThatAsksAgain() {
			run(FIRST);
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			pass(3);
			assertThat(events()).isEmpty();
			RackManagerTests.this.racks.resolve(FIRST, WORKER, "incarnation-1", CellData.TEAM);
			assertThat(events()).containsExactly(AttemptEventKind.LAPSED);
		}

		@Test
		void thatComesBackTellsThatItsTaskRanOn() {
			run(FIRST);
			acknowledgeAll();
			RackManagerTests.this.worker.setUnreachable(true);
			pass(3);
			assertThat(events()).containsExactly(AttemptEventKind.LAPSED);
			RackManagerTests.this.worker.setUnreachable(false);
			pass(1);
			assertThat(events()).containsExactly(AttemptEventKind.RUNNING);
		}

		@Test
		void thatLeavesTheListEndsWhatItWasAskedToStop() {
			RackManagerTests.this.racks.resolve(FIRST, WORKER, "incarnation-1", CellData.TEAM);
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks.update(CellData.hosts(2));
			assertThat(events()).containsExactly(AttemptEventKind.GONE);
		}

		@Test
		void isNotTakenForGoneByAnOlderList() {
			run(FIRST);
			acknowledgeAll();
			RackManagerTests.this.racks.update(CellData.hosts(0));
			assertThat(events()).isEmpty();
		}

	}

	@Nested
	class AnEndNotYetAcknowledged {

		@BeforeEach
		void endTheTask() {
			run(FIRST);
			RackManagerTests.this.worker.endAll(AttemptPhase.FINISHED);
			heartbeat();
			assertThat(events()).containsExactly(AttemptEventKind.FINISHED);
		}

		@Test
		void outlastsTheWorkersNextIncarnation() {
			RackManagerTests.this.worker.restart();
			heartbeat();
			RackManagerTests.this.racks.resolve(FIRST, WORKER, "incarnation-1", CellData.TEAM);

			assertThat(events()).containsExactly(AttemptEventKind.FINISHED);
		}

		@Test
		void outlastsTheWorkersSilence() {
			RackManagerTests.this.worker.setUnreachable(true);
			pass(3);
			RackManagerTests.this.racks.resolve(FIRST, WORKER, "incarnation-1", CellData.TEAM);

			assertThat(events()).containsExactly(AttemptEventKind.FINISHED);
		}

	}

	@Nested
	class Orders {

		@Test
		void addedWhileACommandIsInFlightAreSentAfterIt() {
			RackManagerTests.this.racks.sendHeartbeats();
			reserve(FIRST, true);
			RackManagerTests.this.racks.sendUrgentCommands();
			RackManagerTests.this.control.drain();
			RackManagerTests.this.racks.sendUrgentCommands();
			RackManagerTests.this.control.drain();
			assertThat(RackManagerTests.this.workers.running()).containsExactly(FIRST);
		}

		@Test
		void whoseAnswerIsLostAreSentAgainAndRunOnce() {
			RackManagerTests.this.worker.setAnswersLost(true);
			run(FIRST);
			RackManagerTests.this.worker.setAnswersLost(false);
			pass(1);
			assertThat(events()).containsExactly(AttemptEventKind.RUNNING);
			assertThat(RackManagerTests.this.workers.runs().values()).containsExactly(1);
		}

		@Test
		void toStopOvertakeAStartThatArrivesLate() {
			RackManagerTests.this.worker.setCommandsLate(true);
			run(FIRST);
			RackManagerTests.this.racks.stop(FIRST, WORKER, CellData.TEAM);
			RackManagerTests.this.worker.setCommandsLate(false);
			pass(1);
			assertThat(events()).containsExactly(AttemptEventKind.GONE);
			acknowledgeAll();
			pass(1);
			RackManagerTests.this.worker.landLateCommands();
			assertThat(RackManagerTests.this.workers.runs()).isEmpty();
		}

		@Test
		void forAnEarlierIncarnationStartNothingOnTheNextOne() {
			RackManagerTests.this.worker.setCommandsLate(true);
			run(FIRST);
			RackManagerTests.this.worker.setCommandsLate(false);
			RackManagerTests.this.worker.restart();
			pass(1);
			assertThat(events()).containsExactly(AttemptEventKind.GONE);
			RackManagerTests.this.worker.landLateCommands();
			assertThat(RackManagerTests.this.workers.runs()).isEmpty();
		}

		@Test
		void toStopEndWithTheirAcknowledgement() {
			run(FIRST);
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks.stop(FIRST, WORKER, CellData.TEAM);
			RackManagerTests.this.worker.restart();
			RackManagerTests.this.worker.setUnreachable(false);
			pass(1);
			acknowledgeAll();
			pass(1);
			pass(1);
			assertThat(RackManagerTests.this.worker.known()).isEmpty();
		}

	}

	@Nested
	class ARackTakenOver {

		@Test
		void withAHigherEpochForgetsThePlacesOfTheFormerOne() {
			reserve(FIRST, false);
			RackManagerTests.this.racks.acquireOwnership("r1", 3);
			assertThat(reserve(FIRST, false)).isEmpty();
		}

		@Test
		void isLostToTheFormerOwnerAtItsNextCommand() {
			RackManager former = RackManagerTests.this.racks;
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			RackManagerTests.this.racks = former;
			run(FIRST);
			assertThat(RackManagerTests.this.workers.runs()).isEmpty();
			assertThat(former.summaries()).isEmpty();
		}

		@Test
		void placesNothingOnAWorkerBeforeItsReport() {
			RackManagerTests.this.worker.setUnreachable(true);
			RackManagerTests.this.racks = newOwner();
			takeOver(2);
			assertThat(reserve(FIRST, true)).isEmpty();
		}

	}

}
