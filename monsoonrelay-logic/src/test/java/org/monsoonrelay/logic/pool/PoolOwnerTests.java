package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class PoolOwnerTests {

	private static final long LEASE_OVER_MILLIS = 10_000;

	private final PoolCell cell = new PoolCell().withWorkers(3);

	private void isServed(String... jobs) {
		for (String job : jobs) {
			assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
		}
		assertThat(this.cell.workers.faults()).isEmpty();
	}

	private PoolCell.Scheduler beginWithTwo() {
		PoolCell.Scheduler first = this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		return first;
	}

	@Nested
	class WhenNothingFails {

		@Test
		void anOwnerThatFindsNothingWaitingSaysSo() {
			PoolCell.Scheduler first = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(16, true));
			PoolOwnerTests.this.cell.time.runFor(1200);
			assertThat(PoolOwnerTests.this.cell.pending()).isEqualTo(1);
			first.kill();
			PoolOwnerTests.this.cell.cancel("a");
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(6000);
			assertThat(PoolOwnerTests.this.cell.pending()).isZero();
		}

		@Test
		void stepsRunInTheirOrderAndTheJobCompletes() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(3, false), PoolCell.step(2, true, 0));
			PoolOwnerTests.this.cell.time.runFor(450);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 1, 0))).isZero();
			PoolOwnerTests.this.cell.time.runFor(1500);
			isServed("a");
		}

		@Test
		void moreWorkThanRoomWaitsAndOverfillsNoWorker() {
			PoolOwnerTests.this.cell.addScheduler();
			for (int i = 0; i < 10; i++) {
				PoolOwnerTests.this.cell.submit("job" + i, PoolCell.step(5, i % 2 == 0));
			}
			PoolOwnerTests.this.cell.time.runFor(6000);
			for (int i = 0; i < 10; i++) {
				isServed("job" + i);
			}
		}

		@Test
		void whatBecomesDurableIsToldWithoutAFeed() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(3, false));
			PoolOwnerTests.this.cell.submit("wide", PoolCell.step(13, true));
			PoolOwnerTests.this.cell.time.runFor(1500);
			assertThat(PoolOwnerTests.this.cell.gateway.state("a")).contains(SubmissionState.COMPLETED);
			assertThat(PoolOwnerTests.this.cell.gateway.pending("confirm")).isEqualTo(1);
		}

		@Test
		void aJobIsTakenFromAGatewayBeforeTheFeedBringsIt() {
			PoolCell.Scheduler owner = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			Submission job = PoolOwnerTests.this.cell.submit("a", PoolCell.step(3, false));
			PoolOwnerTests.this.cell.time.runFor(6);
			owner.owner.orElseThrow().accepted(job, PoolOwnerTests.this.cell.table.version());
			PoolOwnerTests.this.cell.time.runFor(3);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, 2))).isEqualTo(1);
			PoolOwnerTests.this.cell.time.runFor(1500);
			isServed("a");
		}

		@Test
		void aCancellationIsTakenFromAGatewayBeforeTheFeedBringsIt() {
			PoolOwnerTests.this.cell.withRunsOf(5000);
			PoolCell.Scheduler owner = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(3, false));
			PoolOwnerTests.this.cell.time.runFor(500);
			owner.owner.orElseThrow().cancelled("a");
			PoolOwnerTests.this.cell.time.runFor(5);
			assertThat(PoolOwnerTests.this.cell.workers.aliveCount()).isZero();
		}

		@Test
		void eligibilityIsAskedBeforeAStart() {
			PoolOwnerTests.this.cell.withEligibility();
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(4, true));
			PoolOwnerTests.this.cell.time.runFor(1500);
			isServed("a");
		}

	}

	@Nested
	class WhenTheOwnerIsLost {

		@Test
		void aKilledOwnersTasksRunOnceAndItsJobsComplete() {
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(200);
			first.kill();
			PoolOwnerTests.this.cell.time.runFor(6000);
			isServed("a");
			for (int i = 0; i < 6; i++) {
				assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, i))).isEqualTo(1);
			}
		}

		@Test
		void aSilentOwnerIsReplacedBeforeItsRowLapses() {
			PoolCell.Scheduler first = beginWithTwo();
			first.kill();
			PoolOwnerTests.this.cell.time.runFor(750);
			assertThat(PoolOwnerTests.this.cell.schedulers.get(1).owner).isPresent();
		}

		@Test
		void anOwnerThatIsNotHeardOfButRenewsItsRowStays() {
			PoolCell.Scheduler first = beginWithTwo();
			first.mute();
			PoolOwnerTests.this.cell.time.runFor(6000);
			assertThat(PoolOwnerTests.this.cell.owner()).isSameAs(first);
		}

		@Test
		void aWorkerThatLeftWithoutRunsHoldsUpNoSuccessor() {
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.workers.crash("w0");
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(8, true));
			PoolOwnerTests.this.cell.submit("b", PoolCell.step(8, true));
			PoolOwnerTests.this.cell.time.runFor(100);
			first.kill();
			PoolOwnerTests.this.cell.time.runFor(2500);
			isServed("a", "b");
		}

		@Test
		void aTaskOnAWorkerThatDoesNotAnswerHoldsUpNoOther() {
			PoolOwnerTests.this.cell.withRunsOf(60_000);
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("long", PoolCell.step(1, false));
			PoolOwnerTests.this.cell.time.runFor(200);
			PoolOwnerTests.this.cell.withRunsOf(PoolCell.RUN_MILLIS);
			String holder = PoolOwnerTests.this.cell.workers.holderOf(new TaskKey("long", 0, 0, 0));
			first.workerClient.cut(holder);
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(8, true));
			PoolOwnerTests.this.cell.submit("b", PoolCell.step(8, true));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.schedulers.get(1).workerClient.cut(holder);
			first.kill();
			PoolOwnerTests.this.cell.time.runFor(2500);
			isServed("a", "b");
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("long", 0, 0, 0))).isEqualTo(1);
			PoolOwnerTests.this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
			isServed("long");
		}

		@Test
		void aTaskOnAWorkerThatLeavesHoldsUpNoOther() {
			PoolOwnerTests.this.cell.withRunsOf(60_000);
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("long", PoolCell.step(1, false));
			PoolOwnerTests.this.cell.time.runFor(200);
			PoolOwnerTests.this.cell.withRunsOf(PoolCell.RUN_MILLIS);
			String holder = PoolOwnerTests.this.cell.workers.holderOf(new TaskKey("long", 0, 0, 0));
			PoolOwnerTests.this.cell.workers.drain(holder);
			PoolOwnerTests.this.cell.time.runFor(1000);
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(8, true));
			PoolOwnerTests.this.cell.submit("b", PoolCell.step(8, true));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.workers.crash(holder);
			first.kill();
			PoolOwnerTests.this.cell.time.runFor(2500);
			isServed("a", "b");
			PoolOwnerTests.this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
			isServed("long");
		}

		@Test
		void anInvitationThatComesLateIsWithoutEffect() {
			PoolCell.Scheduler first = beginWithTwo();
			long old = PoolOwnerTests.this.cell.table.version();
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.schedulers.get(1).election.invited(old);
			PoolOwnerTests.this.cell.time.runFor(1000);
			assertThat(PoolOwnerTests.this.cell.owner()).isSameAs(first);
		}

		@Test
		void aJobThatARivalMayHaveStartedIsNotStartedBeside() {
			PoolCell.Scheduler first = PoolOwnerTests.this.cell.addScheduler();
			first.workerClient.cut("w1");
			first.workerClient.cut("w2");
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.addScheduler().workerClient.cut("w0");
			PoolOwnerTests.this.cell.time.runFor(1000);
			first.mute();
			first.tableClient.appliesLate(60_000);
			PoolCell.Scheduler second = PoolOwnerTests.this.cell.schedulers.get(1);
			for (int i = 0; i < 100 && second.owner.isEmpty(); i++) {
				PoolOwnerTests.this.cell.time.runFor(10);
			}
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(2, false));
			PoolOwnerTests.this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
			isServed("a");
		}

		@Test
		void aPartitionOfJobsThatIsSilentHoldsUpItsOwnJobsAlone() {
			PoolOwnerTests.this.cell.withRunsOf(3000);
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("silent", PoolCell.step(1, false));
			PoolOwnerTests.this.cell.submit("other", PoolCell.step(1, false), PoolCell.step(1, false, 0));
			PoolOwnerTests.this.cell.time.runFor(300);
			assertThat(JobTables.partition("silent")).isNotEqualTo(JobTables.partition("other"));
			PoolOwnerTests.this.cell.table.silence(JobTables.partition("silent"));
			first.kill();
			PoolOwnerTests.this.cell.submit("new", PoolCell.step(1, false));
			PoolOwnerTests.this.cell.time.runFor(8000);
			isServed("other", "new");
			PoolOwnerTests.this.cell.time.runFor(4000);
			PoolOwnerTests.this.cell.table.silence("");
			PoolOwnerTests.this.cell.time.runFor(2000);
			isServed("silent");
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("silent", 0, 0, 0))).isEqualTo(1);
		}

		@Test
		void anOwnerThatTheTableTurnsAwayIsReplacedBeforeItsRowLapses() {
			PoolCell.Scheduler first = beginWithTwo();
			first.tableClient.turnAway(true);
			PoolOwnerTests.this.cell.time.runFor(900);
			assertThat(PoolOwnerTests.this.cell.schedulers.get(1).owner).isPresent();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(2000);
			isServed("a");
		}

		@Test
		void aLateWriteOfAFormerOwnerChangesNothing() {
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false), PoolCell.step(6, false, 0));
			PoolOwnerTests.this.cell.time.runFor(300);
			first.tableClient.appliesLate(7000);
			PoolOwnerTests.this.cell.time.runFor(6000);
			isServed("a");
			PoolOwnerTests.this.cell.time.runFor(6000);
			isServed("a");
		}

		@Test
		void anOwnerThatAsksToBeReplacedStartsNoJobThatItLearnsThen() {
			PoolCell.Scheduler only = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			only.tableClient.turnAway(true);
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(2, false));
			PoolOwnerTests.this.cell.time.runFor(700);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, 0))).isZero();
			only.tableClient.turnAway(false);
			PoolOwnerTests.this.cell.time.runFor(2000);
			isServed("a");
		}

		@Test
		void aProcessFollowsAnEarlierOneOfItsHostWithoutALapse() {
			PoolCell.Scheduler first = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			first.kill();
			PoolOwnerTests.this.cell.schedulers.clear();
			PoolCell.Scheduler next = PoolOwnerTests.this.cell.addScheduler("restarted");
			PoolOwnerTests.this.cell.time.runFor(300);
			assertThat(next.owner).isPresent();
		}

		@Test
		void jobsThatWaitAreCountedAllTheWhile() {
			PoolCell.Scheduler first = beginWithTwo();
			for (int i = 0; i < 8; i++) {
				PoolOwnerTests.this.cell.submit("job" + i, PoolCell.step(12, true));
			}
			PoolOwnerTests.this.cell.time.runFor(450);
			int before = PoolOwnerTests.this.cell.pending();
			assertThat(before).isGreaterThan(2);
			first.kill();
			PoolOwnerTests.this.cell.table.readsTake(450);
			for (int i = 0; i < 400 && !PoolOwnerTests.this.cell.isOwned(); i++) {
				PoolOwnerTests.this.cell.time.runFor(10);
			}
			for (int i = 0; i < 200; i++) {
				PoolOwnerTests.this.cell.time.runFor(5);
				assertThat(PoolOwnerTests.this.cell.pending()).isGreaterThanOrEqualTo(before / 2);
			}
		}

		@Test
		void failuresThatWereNotDurableCountInWhateverOrderTheyAreSeen() {
			PoolCell cell = new PoolCell();
			cell.workers.add("w0", PoolCell.CAPACITY).fails(true);
			cell.workers.add("w1", PoolCell.CAPACITY).fails(true);
			PoolCell.Scheduler first = cell.addScheduler();
			cell.time.runFor(500);
			cell.submit("a", 2, PoolCell.step(1, false));
			cell.time.runFor(150);
			cell.table.down(true);
			cell.time.runFor(1200);
			first.kill();
			cell.table.down(false);
			PoolCell.Scheduler next = cell.addScheduler();
			next.workerClient.cut("w0");
			cell.time.runFor(4000);
			next.workerClient.join("w0");
			cell.time.runFor(LEASE_OVER_MILLIS);
			assertThat(cell.durableState("a")).isEqualTo(SubmissionState.FAILED);
			assertThat(cell.workers.startsOf(new TaskKey("a", 0, 0, 0))).isEqualTo(2);
		}

		@Test
		void aSuccessorThatStoodReadyReadsNoPartition() {
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.time.runFor(PoolCell.READY_MILLIS);
			PoolOwnerTests.this.cell.withRunsOf(2000);
			PoolOwnerTests.this.cell.submit("running", PoolCell.step(3, false), PoolCell.step(2, false, 0));
			PoolOwnerTests.this.cell.time.runFor(700);
			PoolOwnerTests.this.cell.table.readsTake(60_000);
			first.kill();
			PoolOwnerTests.this.cell.withRunsOf(PoolCell.RUN_MILLIS).submit("new", PoolCell.step(2, false));
			PoolOwnerTests.this.cell.time.runFor(4000);
			isServed("running", "new");
		}

		@Test
		void anOwnerThatStartsBesideASlowTableBeginsOnceItHasLoaded() {
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(3, false));
			PoolOwnerTests.this.cell.table.readsTake(700);
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(4000);
			isServed("a");
		}

		@Test
		void anOwnerOfARestartedCellSettlesAndAccountsForItsWorkers() {
			PoolCell.Scheduler first = beginWithTwo();
			for (int i = 0; i < 40; i++) {
				PoolOwnerTests.this.cell.submit("job" + i, PoolCell.step(3, i % 3 == 0));
				PoolOwnerTests.this.cell.time.runFor(60);
			}
			PoolOwnerTests.this.cell.schedulers.forEach(PoolCell.Scheduler::kill);
			PoolOwnerTests.this.cell.schedulers.clear();
			PoolOwnerTests.this.cell.table.readsTake(30);
			PoolOwnerTests.this.cell.time.runFor(1000);
			PoolOwnerTests.this.cell.decisions.clear();
			PoolOwnerTests.this.cell.addScheduler("restarted");
			PoolOwnerTests.this.cell.time.runFor(1000);
			assertThat(PoolOwnerTests.this.cell.decisions).hasAtLeastOneElementOfType(Decision.OwnershipSettled.class)
				.hasAtLeastOneElementOfType(Decision.WorkersAccounted.class);
			PoolOwnerTests.this.cell.time.runFor(3000);
			assertThat(first.owner).isEmpty();
			for (int i = 0; i < 40; i++) {
				isServed("job" + i);
			}
		}

		@Test
		void aStoppedOwnerTellsItsSuccessorAtOnce() {
			PoolCell.Scheduler first = beginWithTwo();
			first.stop();
			PoolOwnerTests.this.cell.time.runFor(40);
			assertThat(PoolOwnerTests.this.cell.owner()).isNotSameAs(first);
		}

		@Test
		void aStoppedOwnerHandsOverWithoutALapse() {
			PoolCell.Scheduler first = beginWithTwo();
			first.stop();
			PoolOwnerTests.this.cell.time.runFor(900);
			assertThat(PoolOwnerTests.this.cell.owner()).isNotSameAs(first);
		}

		@Test
		void anOwnerCutFromTheTableIsReplacedAndNothingRunsTwice() {
			PoolCell.Scheduler first = beginWithTwo();
			for (int i = 0; i < 8; i++) {
				PoolOwnerTests.this.cell.submit("job" + i, PoolCell.step(4, i % 2 == 0));
			}
			PoolOwnerTests.this.cell.time.runFor(300);
			first.tableClient.cut(true);
			PoolOwnerTests.this.cell.time.runFor(4000);
			assertThat(PoolOwnerTests.this.cell.schedulers.get(1).owner).isPresent();
			first.tableClient.cut(false);
			PoolOwnerTests.this.cell.time.runFor(6000);
			for (int i = 0; i < 8; i++) {
				isServed("job" + i);
			}
		}

		@Test
		void tasksOnAWorkerThatTheSuccessorCannotReachWaitForItsLease() {
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(12, false));
			PoolOwnerTests.this.cell.time.runFor(60);
			PoolOwnerTests.this.cell.schedulers.get(1).workerClient.cut("w0");
			first.tableClient.cut(true);
			PoolOwnerTests.this.cell.time.runFor(2 * LEASE_OVER_MILLIS);
			isServed("a");
		}

	}

	@Nested
	class WhenTheTableMisbehaves {

		@Test
		void lostAnswersLoseNoEndAndRepeatNone() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.table.losesAnswers(true);
			PoolOwnerTests.this.cell.time.runFor(3000);
			PoolOwnerTests.this.cell.table.losesAnswers(false);
			PoolOwnerTests.this.cell.time.runFor(3000);
			isServed("a");
		}

		@Test
		void writesThatTakeEffectLateLeaveOneOwner() {
			beginWithTwo();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.table.appliesLate(2500);
			PoolOwnerTests.this.cell.time.runFor(5000);
			PoolOwnerTests.this.cell.table.appliesLate(0);
			PoolOwnerTests.this.cell.time.runFor(LEASE_OVER_MILLIS);
			isServed("a");
			assertThat(PoolOwnerTests.this.cell.schedulers.stream().filter((each) -> each.owner.isPresent()))
				.hasSize(1);
		}

		@Test
		void startsGoOnWhileTheTableIsDown() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(24, false));
			PoolOwnerTests.this.cell.time.runFor(300);
			PoolOwnerTests.this.cell.table.down(true);
			PoolOwnerTests.this.cell.time.runFor(2000);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, 23))).isEqualTo(1);
			PoolOwnerTests.this.cell.table.down(false);
			PoolOwnerTests.this.cell.time.runFor(4000);
			isServed("a");
		}

		@Test
		void aLostHistoryOfChangesLosesNoJob() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.table.loseHistory();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(2, false));
			PoolOwnerTests.this.cell.time.runFor(3000);
			isServed("a");
		}

	}

	@Nested
	class WhenStartsStayUnanswered {

		@Test
		void theirJobsStillCountAsWaiting() {
			PoolCell cell = new PoolCell().withWorkers(1);
			PoolCell.Scheduler owner = cell.addScheduler();
			cell.time.runFor(600);
			owner.workerClient.cut("w0");
			cell.submit("a", PoolCell.step(1, false));
			cell.submit("b", PoolCell.step(1, false));
			cell.time.runFor(1000);
			assertThat(cell.pending()).isEqualTo(2);
		}

	}

	@Nested
	class WhenAJobCannotBeDone {

		@Test
		void aTaskThatFailsAsOftenAsAllowedFailsTheJob() {
			PoolCell cell = new PoolCell();
			cell.workers.add("bad", PoolCell.CAPACITY).fails(true);
			cell.addScheduler();
			cell.submit("a", 2, PoolCell.step(2, false));
			cell.time.runFor(4000);
			assertThat(cell.durableState("a")).isEqualTo(SubmissionState.FAILED);
			assertThat(cell.workers.startsOf(new TaskKey("a", 0, 0, 0))).isLessThanOrEqualTo(2);
		}

		@Test
		void aCancelledJobsTasksAreStopped() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(200);
			assertThat(PoolOwnerTests.this.cell.workers.aliveCount()).isEqualTo(6);
			PoolOwnerTests.this.cell.cancel("a");
			PoolOwnerTests.this.cell.time.runFor(200);
			assertThat(PoolOwnerTests.this.cell.workers.aliveCount()).isZero();
			assertThat(PoolOwnerTests.this.cell.durableState("a")).isEqualTo(SubmissionState.CANCELLED);
		}

		@Test
		void aCancellationAfterTheOwnerWasLostIsObeyed() {
			PoolCell.Scheduler first = beginWithTwo();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false), PoolCell.step(6, false, 0));
			PoolOwnerTests.this.cell.time.runFor(200);
			first.kill();
			PoolOwnerTests.this.cell.cancel("a");
			PoolOwnerTests.this.cell.time.runFor(5000);
			assertThat(PoolOwnerTests.this.cell.durableState("a")).isEqualTo(SubmissionState.CANCELLED);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 1, 0))).isZero();
		}

	}

}
