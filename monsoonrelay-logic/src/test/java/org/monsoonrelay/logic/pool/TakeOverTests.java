package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverTests {

	private final PoolCell cell = new PoolCell().withWorkers(3);

	@Nested
	class OfAnOwnerThatIsLost {

		@Test
		void aKilledOwnersTasksRunOnceAndItsJobsComplete() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			TakeOverTests.this.cell.submit("a", PoolCell.step(6, false));
			TakeOverTests.this.cell.time.runFor(200);
			first.kill();
			TakeOverTests.this.cell.time.runFor(6000);
			TakeOverTests.this.cell.assertServed("a");
			for (int i = 0; i < 6; i++) {
				assertThat(TakeOverTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, i))).isEqualTo(1);
			}
		}

		@Test
		void aSilentOwnerIsReplacedBeforeItsRowLapses() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			first.kill();
			TakeOverTests.this.cell.time.runFor(750);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner).isPresent();
		}

		@Test
		void aHostThatStandsReadyGoesFirstAndAnotherOneIfItIsLostAsWell() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			PoolCell.Scheduler ready = TakeOverTests.this.cell.addScheduler();
			HostRecord owner = new HostRecord("s0", "domain", "a:1", "first", 1, false);
			HostRecord other = new HostRecord("s2", "domain", "a:1", "first", 1, false);
			first.owner.orElseThrow().registered(List.of(new StandbyChoice.Candidate(other, 1, true)), owner);
			TakeOverTests.this.cell.time.runFor(3000);
			first.kill();
			TakeOverTests.this.cell.time.runFor(1500);
			assertThat(ready.owner).isPresent();
			ready.kill();
			TakeOverTests.this.cell.time.runFor(3000);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner).isPresent();
		}

		@Test
		void anOwnerThatIsHeardOfButCannotWriteIsReplacedOnceItsRowLapses() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			TakeOverTests.this.cell.time.runFor(2000);
			first.tableClient.cut(true);
			TakeOverTests.this.cell.time.runFor(OwnerTerm.LAPSE_MILLIS + 1000);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner).isPresent();
		}

		@Test
		void anOwnerThatIsNotHeardOfButRenewsItsRowStays() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			first.mute();
			TakeOverTests.this.cell.time.runFor(6000);
			assertThat(TakeOverTests.this.cell.owner()).isSameAs(first);
		}

		@Test
		void aLateWriteOfAFormerOwnerChangesNothing() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			TakeOverTests.this.cell.submit("a", PoolCell.step(6, false), PoolCell.step(6, false, 0));
			TakeOverTests.this.cell.time.runFor(300);
			first.tableClient.appliesLate(7000);
			TakeOverTests.this.cell.time.runFor(6000);
			TakeOverTests.this.cell.assertServed("a");
			TakeOverTests.this.cell.time.runFor(6000);
			TakeOverTests.this.cell.assertServed("a");
		}

		@Test
		void anOwnerCutFromTheTableIsReplacedAndNothingRunsTwice() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			for (int i = 0; i < 8; i++) {
				TakeOverTests.this.cell.submit("job" + i, PoolCell.step(4, i % 2 == 0));
			}
			TakeOverTests.this.cell.time.runFor(300);
			first.tableClient.cut(true);
			TakeOverTests.this.cell.time.runFor(4000);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner).isPresent();
			first.tableClient.cut(false);
			TakeOverTests.this.cell.time.runFor(6000);
			for (int i = 0; i < 8; i++) {
				TakeOverTests.this.cell.assertServed("job" + i);
			}
		}

	}

	@Nested
	class OfAnOwnerThatGivesUp {

		@Test
		void anInvitationThatComesLateIsWithoutEffect() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			long old = TakeOverTests.this.cell.table.version();
			TakeOverTests.this.cell.time.runFor(1500);
			TakeOverTests.this.cell.schedulers.get(1).election.invited(old);
			TakeOverTests.this.cell.time.runFor(1000);
			assertThat(TakeOverTests.this.cell.owner()).isSameAs(first);
		}

		@Test
		void anOwnerThatTheTableTurnsAwayIsReplacedBeforeItsRowLapses() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			first.tableClient.turnAway(true);
			TakeOverTests.this.cell.time.runFor(900);
			assertThat(TakeOverTests.this.cell.schedulers.get(1).owner).isPresent();
			TakeOverTests.this.cell.submit("a", PoolCell.step(6, false));
			TakeOverTests.this.cell.time.runFor(2000);
			TakeOverTests.this.cell.assertServed("a");
		}

		@Test
		void anOwnerThatAsksToBeReplacedStartsNoJobThatItLearnsThen() {
			PoolCell.Scheduler only = TakeOverTests.this.cell.addScheduler();
			TakeOverTests.this.cell.time.runFor(500);
			only.tableClient.turnAway(true);
			TakeOverTests.this.cell.time.runFor(500);
			TakeOverTests.this.cell.submit("a", PoolCell.step(2, false));
			TakeOverTests.this.cell.time.runFor(700);
			assertThat(TakeOverTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, 0))).isZero();
			only.tableClient.turnAway(false);
			TakeOverTests.this.cell.time.runFor(2000);
			TakeOverTests.this.cell.assertServed("a");
		}

		@Test
		void aProcessFollowsAnEarlierOneOfItsHostWithoutALapse() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.addScheduler();
			TakeOverTests.this.cell.time.runFor(500);
			first.kill();
			TakeOverTests.this.cell.schedulers.clear();
			PoolCell.Scheduler next = TakeOverTests.this.cell.addScheduler("restarted");
			TakeOverTests.this.cell.time.runFor(300);
			assertThat(next.owner).isPresent();
		}

		@Test
		void aStoppedOwnerTellsItsSuccessorAtOnce() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			first.stop();
			TakeOverTests.this.cell.time.runFor(40);
			assertThat(TakeOverTests.this.cell.owner()).isNotSameAs(first);
		}

		@Test
		void aStoppedOwnerHandsOverWithoutALapse() {
			PoolCell.Scheduler first = TakeOverTests.this.cell.beginWithTwo();
			first.stop();
			TakeOverTests.this.cell.time.runFor(900);
			assertThat(TakeOverTests.this.cell.owner()).isNotSameAs(first);
		}

	}

}
