package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class PoolOwnerTests {

	/** Until a write that is due is sent and answered; the feed takes longer. */
	private static final long WRITE_MILLIS = 40;

	private static final long LEASE_OVER_MILLIS = 10_000;

	private final PoolCell cell = new PoolCell().withWorkers(3);

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
			PoolOwnerTests.this.cell.assertServed("a");
		}

		@Test
		void moreWorkThanRoomWaitsAndOverfillsNoWorker() {
			PoolOwnerTests.this.cell.addScheduler();
			for (int i = 0; i < 10; i++) {
				PoolOwnerTests.this.cell.submit("job" + i, PoolCell.step(5, i % 2 == 0));
			}
			PoolOwnerTests.this.cell.time.runFor(6000);
			for (int i = 0; i < 10; i++) {
				PoolOwnerTests.this.cell.assertServed("job" + i);
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
			assertThat(PoolOwnerTests.this.cell.decisions).hasAtLeastOneElementOfType(JobDecision.JobLearnt.class);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, 2))).isZero();
			PoolOwnerTests.this.cell.time.runFor(WRITE_MILLIS);
			assertThat(PoolOwnerTests.this.cell.workers.startsOf(new TaskKey("a", 0, 0, 2))).isEqualTo(1);
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.assertServed("a");
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
			PoolOwnerTests.this.cell.assertServed("a");
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
			PoolOwnerTests.this.cell.assertServed("a");
		}

		@Test
		void writesThatTakeEffectLateLeaveOneOwner() {
			PoolOwnerTests.this.cell.beginWithTwo();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.table.appliesLate(2500);
			PoolOwnerTests.this.cell.time.runFor(5000);
			PoolOwnerTests.this.cell.table.appliesLate(0);
			PoolOwnerTests.this.cell.time.runFor(LEASE_OVER_MILLIS);
			PoolOwnerTests.this.cell.assertServed("a");
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
			PoolOwnerTests.this.cell.assertServed("a");
		}

		@Test
		void aLostHistoryOfChangesLosesNoJob() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.table.loseHistory();
			PoolOwnerTests.this.cell.submit("a", PoolCell.step(2, false));
			PoolOwnerTests.this.cell.time.runFor(3000);
			PoolOwnerTests.this.cell.assertServed("a");
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
			PoolCell.Scheduler first = PoolOwnerTests.this.cell.beginWithTwo();
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
