package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class PoolOwnerTests {

	/**
	 * Time until a due write is answered, milliseconds. The job feed takes longer.
	 */
	private static final long WRITE_MILLIS = 40;

	private static final long LEASE_EXPIRED_MILLIS = 10_000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	@Nested
	class WhenNothingFails {

		@Test
		void aJobWhoseTasksRunUntilItIsCancelledIsStoredAsRunning() {
			SimulatedCell cell = PoolOwnerTests.this.cell.withRunMillis(Integer.MAX_VALUE);
			cell.addScheduler();
			cell.submit("a", new StepSpec(2, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "",
					"", 0, false, false, true, false));
			cell.time.runFor(3000);
			assertThat(cell.workers.runningTaskCount()).isEqualTo(2);
			assertThat(cell.durableState("a")).isEqualTo(SubmissionState.RUNNING);
		}

		@Test
		void aNewOwnerStoresThatNoJobIsWaiting() {
			SimulatedCell.Scheduler first = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(16, true));
			PoolOwnerTests.this.cell.time.runFor(1200);
			assertThat(PoolOwnerTests.this.cell.pendingCount()).isEqualTo(1);
			first.kill();
			PoolOwnerTests.this.cell.cancel("a");
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(6000);
			assertThat(PoolOwnerTests.this.cell.pendingCount()).isZero();
		}

		@Test
		void stepsRunInOrderAndTheJobCompletes() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(3, false), SimulatedCell.step(2, true, 0));
			PoolOwnerTests.this.cell.time.runFor(450);
			assertThat(PoolOwnerTests.this.cell.workers.startCount(new TaskKey("a", 0, 1, 0))).isZero();
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.assertCompleted("a");
		}

		@Test
		void workBeyondTheCapacityWaitsAndOverloadsNoWorker() {
			PoolOwnerTests.this.cell.addScheduler();
			for (int i = 0; i < 10; i++) {
				PoolOwnerTests.this.cell.submit("job" + i, SimulatedCell.step(5, i % 2 == 0));
			}
			PoolOwnerTests.this.cell.time.runFor(6000);
			for (int i = 0; i < 10; i++) {
				PoolOwnerTests.this.cell.assertCompleted("job" + i);
			}
		}

		@Test
		void durableStatesArePublishedToGateways() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(3, false));
			PoolOwnerTests.this.cell.submit("wide", SimulatedCell.step(13, true));
			PoolOwnerTests.this.cell.time.runFor(1500);
			assertThat(PoolOwnerTests.this.cell.gateway.state("a")).contains(SubmissionState.COMPLETED);
			assertThat(PoolOwnerTests.this.cell.gateway.waitingJobs("confirm").jobs()).isEqualTo(1);
		}

		@Test
		void aJobFromAGatewayStartsBeforeTheFeedDeliversIt() {
			SimulatedCell.Scheduler owner = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			Submission job = PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(3, false));
			PoolOwnerTests.this.cell.time.runFor(6);
			owner.owner().orElseThrow().jobAccepted(job, PoolOwnerTests.this.cell.table.version());
			assertThat(PoolOwnerTests.this.cell.decisions).hasAtLeastOneElementOfType(JobDecision.JobLearnt.class);
			assertThat(PoolOwnerTests.this.cell.workers.startCount(new TaskKey("a", 0, 0, 2))).isZero();
			PoolOwnerTests.this.cell.time.runFor(WRITE_MILLIS);
			assertThat(PoolOwnerTests.this.cell.workers.startCount(new TaskKey("a", 0, 0, 2))).isEqualTo(1);
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.assertCompleted("a");
		}

		@Test
		void aCancellationFromAGatewayIsAppliedBeforeTheFeedDeliversIt() {
			PoolOwnerTests.this.cell.withRunMillis(5000);
			SimulatedCell.Scheduler owner = PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(3, false));
			PoolOwnerTests.this.cell.time.runFor(500);
			owner.owner().orElseThrow().jobCancelled("a");
			PoolOwnerTests.this.cell.time.runFor(5);
			assertThat(PoolOwnerTests.this.cell.workers.runningTaskCount()).isZero();
		}

		@Test
		void eligibilityIsRequestedBeforeAStart() {
			PoolOwnerTests.this.cell.withEligibility();
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(4, true));
			PoolOwnerTests.this.cell.time.runFor(1500);
			PoolOwnerTests.this.cell.assertCompleted("a");
		}

	}

	@Nested
	class WhenTheTableFails {

		@Test
		void lostResponsesNeitherLoseNorRepeatEnds() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.table.setDropsAnswers(true);
			PoolOwnerTests.this.cell.time.runFor(3000);
			PoolOwnerTests.this.cell.table.setDropsAnswers(false);
			PoolOwnerTests.this.cell.time.runFor(3000);
			PoolOwnerTests.this.cell.assertCompleted("a");
		}

		@Test
		void delayedWritesLeaveOneOwner() {
			PoolOwnerTests.this.cell.startOwnerAndStandby();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(100);
			PoolOwnerTests.this.cell.table.setWriteDelay(2500);
			PoolOwnerTests.this.cell.time.runFor(5000);
			PoolOwnerTests.this.cell.table.setWriteDelay(0);
			PoolOwnerTests.this.cell.time.runFor(LEASE_EXPIRED_MILLIS);
			PoolOwnerTests.this.cell.assertCompleted("a");
			assertThat(PoolOwnerTests.this.cell.schedulers.stream().filter((each) -> each.owner().isPresent()))
				.hasSize(1);
		}

		@Test
		void tasksStartWhileTheTableIsDown() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(24, false));
			PoolOwnerTests.this.cell.time.runFor(300);
			PoolOwnerTests.this.cell.table.setDown(true);
			PoolOwnerTests.this.cell.time.runFor(2000);
			assertThat(PoolOwnerTests.this.cell.workers.startCount(new TaskKey("a", 0, 0, 23))).isEqualTo(1);
			PoolOwnerTests.this.cell.table.setDown(false);
			PoolOwnerTests.this.cell.time.runFor(4000);
			PoolOwnerTests.this.cell.assertCompleted("a");
		}

		@Test
		void aLostChangeHistoryLosesNoJob() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.time.runFor(500);
			PoolOwnerTests.this.cell.table.loseChangeHistory();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(2, false));
			PoolOwnerTests.this.cell.time.runFor(3000);
			PoolOwnerTests.this.cell.assertCompleted("a");
		}

	}

	@Nested
	class WhenStartsAreUnanswered {

		@Test
		void theirJobsStillCountAsWaiting() {
			SimulatedCell cell = new SimulatedCell().withWorkers(1);
			SimulatedCell.Scheduler owner = cell.addScheduler();
			cell.time.runFor(600);
			owner.workerClient.disconnect("w0");
			cell.submit("a", SimulatedCell.step(1, false));
			cell.submit("b", SimulatedCell.step(1, false));
			cell.time.runFor(1000);
			assertThat(cell.pendingCount()).isEqualTo(2);
		}

	}

	@Nested
	class WhenAJobDoesNotComplete {

		@Test
		void aTaskThatExhaustsItsAttemptsFailsTheJob() {
			SimulatedCell cell = new SimulatedCell();
			cell.workers.add("bad", SimulatedCell.CAPACITY).setFailing(true);
			cell.addScheduler();
			cell.submit("a", 2, SimulatedCell.step(2, false));
			cell.time.runFor(4000);
			assertThat(cell.durableState("a")).isEqualTo(SubmissionState.FAILED);
			assertThat(cell.workers.startCount(new TaskKey("a", 0, 0, 0))).isLessThanOrEqualTo(2);
		}

		@Test
		void theTasksOfACancelledJobAreStopped() {
			PoolOwnerTests.this.cell.addScheduler();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(6, false));
			PoolOwnerTests.this.cell.time.runFor(200);
			assertThat(PoolOwnerTests.this.cell.workers.runningTaskCount()).isEqualTo(6);
			PoolOwnerTests.this.cell.cancel("a");
			PoolOwnerTests.this.cell.time.runFor(200);
			assertThat(PoolOwnerTests.this.cell.workers.runningTaskCount()).isZero();
			assertThat(PoolOwnerTests.this.cell.durableState("a")).isEqualTo(SubmissionState.CANCELLED);
		}

		@Test
		void aCancellationAfterTheLossOfTheOwnerIsApplied() {
			SimulatedCell.Scheduler first = PoolOwnerTests.this.cell.startOwnerAndStandby();
			PoolOwnerTests.this.cell.submit("a", SimulatedCell.step(6, false), SimulatedCell.step(6, false, 0));
			PoolOwnerTests.this.cell.time.runFor(200);
			first.kill();
			PoolOwnerTests.this.cell.cancel("a");
			PoolOwnerTests.this.cell.time.runFor(5000);
			assertThat(PoolOwnerTests.this.cell.durableState("a")).isEqualTo(SubmissionState.CANCELLED);
			assertThat(PoolOwnerTests.this.cell.workers.startCount(new TaskKey("a", 0, 1, 0))).isZero();
		}

	}

}
