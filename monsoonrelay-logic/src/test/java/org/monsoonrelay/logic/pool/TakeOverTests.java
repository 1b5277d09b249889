package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverTests {

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	@Nested
	class WhenTheOwnerIsLost {

		@Test
		void tasksOfAKilledOwnerRunOnceAndItsJobsComplete() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			TakeOverTests.this.cell.submit("a", SimulatedCell.step(6, false));
			TakeOverTests.this.cell.time.runFor(200);
			first.kill();
			TakeOverTests.this.cell.time.runFor(6000);
			TakeOverTests.this.cell.assertCompleted("a");
			for (int i = 0; i < 6; i++) {
				assertThat(TakeOverTests.this.cell.workers.startCount(new TaskKey("a", 0, 0, i))).isEqualTo(1);
			}
		}

		@Test
		void anUnresponsiveOwnerIsReplacedBeforeItsRowExpires() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			first.kill();
			TakeOverTests.this.cell.time.runFor(750);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner()).isPresent();
		}

		@Test
		void aStandbyTakesOverFirstAndAnotherHostIfTheStandbyIsLost() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			SimulatedCell.Scheduler standby = TakeOverTests.this.cell.addScheduler();
			HostRecord owner = new HostRecord("s0", "domain", "a:1", "first", 1, false);
			HostRecord other = new HostRecord("s2", "domain", "a:1", "first", 1, false);
			first.owner()
				.orElseThrow()
				.updateRegisteredHosts(List.of(new StandbySelector.Candidate(other, 1, true)), owner);
			TakeOverTests.this.cell.time.runFor(3000);
			first.kill();
			TakeOverTests.this.cell.time.runFor(1500);
			assertThat(standby.owner()).isPresent();
			standby.kill();
			TakeOverTests.this.cell.time.runFor(3000);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner()).isPresent();
		}

		@Test
		void anOwnerWithHeartbeatsThatCannotWriteIsReplacedOnceItsRowExpires() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			TakeOverTests.this.cell.time.runFor(2000);
			first.tableClient.setDisconnected(true);
			TakeOverTests.this.cell.time.runFor(OwnerLease.EXPIRY_MILLIS + 1000);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner()).isPresent();
		}

		@Test
		void anOwnerWithoutHeartbeatsThatRenewsItsRowIsKept() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			first.muteToPeers();
			TakeOverTests.this.cell.time.runFor(6000);
			assertThat(TakeOverTests.this.cell.owner()).isSameAs(first);
		}

		@Test
		void aDelayedWriteOfAFormerOwnerHasNoEffect() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			TakeOverTests.this.cell.submit("a", SimulatedCell.step(6, false), SimulatedCell.step(6, false, 0));
			TakeOverTests.this.cell.time.runFor(300);
			first.tableClient.setWriteDelay(7000);
			TakeOverTests.this.cell.time.runFor(6000);
			TakeOverTests.this.cell.assertCompleted("a");
			TakeOverTests.this.cell.time.runFor(6000);
			TakeOverTests.this.cell.assertCompleted("a");
		}

		@Test
		void anOwnerDisconnectedFromTheTableIsReplacedAndNoTaskRunsTwice() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			for (int i = 0; i < 8; i++) {
				TakeOverTests.this.cell.submit("job" + i, SimulatedCell.step(4, i % 2 == 0));
			}
			TakeOverTests.this.cell.time.runFor(300);
			first.tableClient.setDisconnected(true);
			TakeOverTests.this.cell.time.runFor(4000);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner()).isPresent();
			first.tableClient.setDisconnected(false);
			TakeOverTests.this.cell.time.runFor(6000);
			for (int i = 0; i < 8; i++) {
				TakeOverTests.this.cell.assertCompleted("job" + i);
			}
		}

	}

	@Nested
	class WhenTheOwnerHandsOver {

		@Test
		void anOutdatedTakeOverRequestHasNoEffect() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			long outdatedVersion = TakeOverTests.this.cell.table.version();
			TakeOverTests.this.cell.time.runFor(1500);
			TakeOverTests.this.cell.schedulers.get(1).election.takeOverRequested(outdatedVersion);
			TakeOverTests.this.cell.time.runFor(1000);
			assertThat(TakeOverTests.this.cell.owner()).isSameAs(first);
		}

		@Test
		void anOwnerWhoseRequestsAreRejectedIsReplacedBeforeItsRowExpires() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			first.tableClient.setRejectsRequests(true);
			TakeOverTests.this.cell.time.runFor(900);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner()).isPresent();
			TakeOverTests.this.cell.submit("a", SimulatedCell.step(6, false));
			TakeOverTests.this.cell.time.runFor(2000);
			TakeOverTests.this.cell.assertCompleted("a");
		}

		@Test
		void anOwnerThatRequestedATakeOverStartsNoNewJob() {
			SimulatedCell.Scheduler only = TakeOverTests.this.cell.addScheduler();
			TakeOverTests.this.cell.time.runFor(500);
			only.tableClient.setRejectsRequests(true);
			TakeOverTests.this.cell.time.runFor(500);
			TakeOverTests.this.cell.submit("a", SimulatedCell.step(2, false));
			TakeOverTests.this.cell.time.runFor(700);
			assertThat(TakeOverTests.this.cell.workers.startCount(new TaskKey("a", 0, 0, 0))).isZero();
			only.tableClient.setRejectsRequests(false);
			TakeOverTests.this.cell.time.runFor(2000);
			TakeOverTests.this.cell.assertCompleted("a");
		}

		@Test
		void aRestartedProcessTakesOverFromItsPredecessorWithoutAnExpiry() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.addScheduler();
			TakeOverTests.this.cell.time.runFor(500);
			first.kill();
			TakeOverTests.this.cell.schedulers.clear();
			SimulatedCell.Scheduler next = TakeOverTests.this.cell.addScheduler("restarted");
			TakeOverTests.this.cell.time.runFor(300);
			assertThat(next.owner()).isPresent();
		}

		@Test
		void aStoppedOwnerNotifiesItsSuccessorAtOnce() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			first.stop();
			TakeOverTests.this.cell.time.runFor(40);
			assertThat(TakeOverTests.this.cell.owner()).isNotSameAs(first);
		}

		@Test
		void aStoppedOwnerHandsOverWithoutAnExpiry() {
			SimulatedCell.Scheduler first = TakeOverTests.this.cell.startOwnerAndStandby();
			first.stop();
			TakeOverTests.this.cell.time.runFor(900);
			assertThat(TakeOverTests.this.cell.owner()).isNotSameAs(first);
		}

	}

}
