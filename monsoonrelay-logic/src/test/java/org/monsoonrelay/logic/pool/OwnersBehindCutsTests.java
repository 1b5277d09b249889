package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.explain.LogLine;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An owner that is cut off for longer than all leases starts no task that its successor
 * has accounted for.
 */
class OwnersBehindCutsTests {

	private final OwnerBehindCut cut = new OwnerBehindCut();

	private final SimulatedCell cell = this.cut.cell;

	private void assertNotStartedAgain() {
		this.cut.cutOff();
		this.cut.endCut();
		this.cell.assertCompleted("a");
	}

	@Nested
	class ATaskThatTheSuccessorHasAccountedFor {

		private final OwnerBehindCut cut = OwnersBehindCutsTests.this.cut;

		private final SimulatedCell cell = OwnersBehindCutsTests.this.cell;

		@Test
		void isNotStartedAgainWhenItsWorkerIsSilent() {
			this.cut.startOn("far", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false));
			assertNotStartedAgain();
		}

		@Test
		void isLoggedAsHeldBackByTheFormerOwner() {
			this.cut.startOn("far", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false));
			this.cut.cutOff();
			List<LogLine> story = this.cell.logs.story("a").lines();
			assertThat(story).extracting((line) -> line.source() + ' ' + line.event())
				.containsSubsequence("s0first TaskPlaced", "s0first OwnershipUnconfirmed", "s0first TaskLost",
						"s0first TaskHeldBack", "s1first OwnershipTaken", "s1first TaskEnded", "s1first JobEnded");
			assertThat(this.cell.decisions).filteredOn(JobDecision.TaskHeldBack.class::isInstance)
				.singleElement(InstanceOfAssertFactories.type(JobDecision.TaskHeldBack.class))
				.satisfies((heldBack) -> assertThat(heldBack.renewalAgeMillis())
					.isGreaterThan(OwnerLease.MAX_WORKER_LEASE_MILLIS));
		}

		@Test
		void isNotStartedAgainWhenItsDrainingWorkerIsSilent() {
			this.cut.startOn("far", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false));
			this.cut.drainFarWorker();
			assertNotStartedAgain();
		}

		@Test
		void isNotStartedBesideItsLongRunThatTheSuccessorKeepsAlive() {
			StepSpec longRunning = new StepSpec(1, SimulatedCell.TASK, OwnerBehindCut.RUN_MILLIS, List.of(), false,
					false, "", "", 0, false, false, true, false);
			this.cut.startOn("far", Integer.MAX_VALUE, longRunning);
			this.cell.time.runFor(12_000);
			this.cut.cutOff();
			this.cut.endCut();
			assertThat(this.cell.workers.violations()).isEmpty();
			assertThat(this.cut.startCount(OwnerBehindCut.TASK)).isEqualTo(1);
		}

		@Test
		void isNotStartedAgainAsAMemberOfAGang() {
			this.cut.startOn("far", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(2, true));
			this.cut.drainFarWorker();
			assertNotStartedAgain();
		}

		@Test
		void isNotStartedBesideRunsOfItsGangThatTheSuccessorKeepsAlive() {
			this.cell.workers.add("near2", SimulatedCell.CAPACITY, "porto");
			this.cut.successor.workerClient.disconnect("near2");
			this.cell.time.runFor(500);
			this.cell.withRunMillis(20_000).submit("a", SimulatedCell.step(6, true));
			this.cell.time.runFor(1000);
			assertThat(this.cell.workers.find("far").runningCount()).isBetween(1, 5);
			this.cut.drainFarWorker();
			this.cut.cutOff();
			for (int i = 0; i < 6; i++) {
				assertThat(this.cut.startCount(new TaskKey("a", 0, 0, i))).isEqualTo(1);
			}
			this.cut.successor.workerClient.reconnect("near2");
			this.cut.endCut();
			this.cell.assertCompleted("a");
		}

		@Test
		void isNotStartedAgainIfTheTableRejectsOnlyWritesOfTheFormerOwner() {
			this.cut.startOn("far", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false));
			this.cut.drainFarWorker();
			this.cut.beginCut();
			this.cut.former.tableClient.setDisconnected(false);
			this.cut.former.tableClient.setRejectsRequests(true);
			this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
			this.cut.former.tableClient.setRejectsRequests(false);
			this.cut.endCut();
			this.cell.assertCompleted("a");
		}

		@Test
		void isNotStartedAgainByAFormerOwnerThatWasSuspended() {
			this.cut.startOn("far", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false));
			this.cut.drainFarWorker();
			this.cut.former.process.suspend();
			this.cut.beginCut();
			this.cell.time.runFor(8000);
			this.cut.former.process.resume();
			this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
			this.cut.endCut();
			this.cell.assertCompleted("a");
		}

		@ParameterizedTest
		@EnumSource(RestartedId.class)
		void isNotStartedAgainWhenItsDrainingWorkerHasRestartedSince(RestartedId id) {
			this.cell.workers.setRestartedId(id);
			this.cut.startOn("far", 3000, SimulatedCell.step(1, false));
			this.cut.drainFarWorker();
			this.cut.beginCut();
			restartFarWorkerOnceItsEndIsAcknowledged();
			this.cut.endCut();
			this.cell.assertCompleted("a");
		}

		private void restartFarWorkerOnceItsEndIsAcknowledged() {
			this.cell.time.runFor(4000);
			this.cell.assertCompleted("a");
			this.cut.successor.workerClient.setDisconnectedFrom("gaia", true);
			this.cell.workers.crashAndRestart(this.cell.workers.find("far"), 100);
			this.cut.former.workerClient.reconnect("far");
			this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
			this.cut.successor.workerClient.setDisconnectedFrom("gaia", false);
		}

		@ParameterizedTest
		@EnumSource(RestartedId.class)
		void isNotStartedAgainWhenAnEarlierOwnerStartedItOnADrainingWorkerThatHasRestartedSince(RestartedId id) {
			this.cell.workers.setRestartedId(id);
			this.cell.workers.setListDelayMillis(3000);
			this.cut.startOn("far", 6500, SimulatedCell.step(1, false));
			this.cut.drainFarWorker();
			replaceFormerOwnerBehindCutFromFarWorker(2500);
			this.cut.beginCut();
			restartFarWorkerOnceItsEndIsAcknowledged();
			this.cut.endCut();
			this.cell.assertCompleted("a");
		}

		@Test
		void isNotStartedAgainWhenItsRestartedWorkerWasDrainedAfterTheLastRecordOfTheOwnerThatStartedIt() {
			this.cell.workers.setRestartedId(RestartedId.SAME);
			this.cell.workers.setListDelayMillis(3000);
			this.cut.startOn("far", 6500, SimulatedCell.step(1, false));
			this.cell.time.schedule(() -> this.cell.workers.drain("far"), 50, TimeUnit.MILLISECONDS);
			replaceFormerOwnerBehindCutFromFarWorker(2500);
			this.cut.beginCut();
			restartFarWorkerOnceItsEndIsAcknowledged();
			this.cut.endCut();
			this.cell.assertCompleted("a");
		}

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void isNotStartedAgainWhenAnEarlierOwnerStartedItOnAWorkerThatIsNotReached(boolean isDraining) {
			this.cut.startOn("far", 7000, SimulatedCell.step(1, false));
			if (isDraining) {
				this.cut.drainFarWorker();
			}
			replaceFormerOwnerBehindCutFromFarWorker(3000);
			assertNotStartedAgain();
		}

		private void replaceFormerOwnerBehindCutFromFarWorker(long millis) {
			SimulatedCell.Scheduler third = this.cell.addScheduler();
			this.cell.time.runFor(10);
			this.cut.successor.workerClient.disconnect("far");
			third.workerClient.disconnect("far");
			this.cut.former.kill();
			this.cell.time.runFor(millis);
			this.cut.successor = (this.cell.owner() == third) ? this.cut.successor : third;
			this.cut.former = this.cell.owner();
			this.cut.successor.workerClient.reconnect("far");
		}

	}

}
