package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers that crash and restart under the id that they had, with empty lists, numbers
 * from 1 and a clock that starts anew.
 */
class RestartsUnderTheSameIdTests {

	private static final int WORKERS = 6;

	private static final int JOBS = 40;

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS);

	@BeforeEach
	void keepIds() {
		this.cell.workers.setRestartedId(RestartedId.SAME);
	}

	private void restart(int worker, long millis) {
		this.cell.workers.crashAndRestart(this.cell.workers.find("w" + worker), millis);
	}

	private <T extends Decision> List<T> decisions(Class<T> type) {
		return this.cell.decisions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private void assertAllCompleted() {
		assertThat(this.cell.workers.violations()).isEmpty();
		for (int i = 0; i < JOBS; i++) {
			this.cell.assertCompleted("job" + i);
		}
	}

	private void submitJobsAndRestartWorkers(Random random, long maxRestartMillis) {
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(1 + random.nextInt(4), random.nextInt(4) == 0));
			if (i >= JOBS / 2 && i % 2 == 0) {
				restart(random.nextInt(WORKERS), 1 + random.nextInt((int) maxRestartMillis));
			}
			this.cell.time.runFor(random.nextInt(400));
		}
	}

	// Guards against acknowledging terminations by the numbers of a former incarnation.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void tasksWhoseEndsARestartedWorkerReportsAreNotStartedAgain(long seed) {
		Random random = new Random(seed);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(1 + random.nextInt(4), random.nextInt(4) == 0));
			if (i >= JOBS / 2 && i % 2 == 0) {
				restart(random.nextInt(WORKERS), 100 + random.nextInt(900));
			}
			this.cell.time.runFor(random.nextInt(400));
		}
		this.cell.time.runFor(30_000);
		assertAllCompleted();
	}

	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15 })
	void tasksAreNotStartedAgainIfWorkersDoNotTellWhenTheyWereStarted(long seed) {
		this.cell.workers.setTellingStarts(false);
		SimulatedCell cell = this.cell;
		cell.workers.listedWorkers().forEach((worker) -> cell.workers.add(worker.id(), SimulatedCell.CAPACITY));
		cell.addScheduler();
		cell.time.runFor(500);
		submitJobsAndRestartWorkers(new Random(seed), 1000);
		cell.time.runFor(30_000);
		assertAllCompleted();
	}

	@ParameterizedTest
	@ValueSource(longs = { 21, 22, 23, 24, 25 })
	void tasksAreNotStartedAgainWhicheverOfListAndReportTellsOfTheRestartFirst(long seed) {
		this.cell.workers.setListDelayMillis(new Random(seed).nextInt(3000));
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		submitJobsAndRestartWorkers(new Random(seed), 1000);
		this.cell.time.runFor(30_000);
		assertAllCompleted();
	}

	@ParameterizedTest
	@ValueSource(longs = { 31, 32, 33, 34, 35, 36, 37, 38, 39, 40 })
	void tasksAreNotStartedAgainIfWorkersRestartSeveralTimesASecondAndOwnersChange(long seed) {
		Random random = new Random(seed);
		this.cell.startOwnerAndStandby();
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(1 + random.nextInt(4), random.nextInt(4) == 0));
			for (int j = 0; i >= JOBS / 4 && j < 4; j++) {
				restart(random.nextInt(2), 1 + random.nextInt(60));
				this.cell.time.runFor(random.nextInt(100));
			}
			if (i % 13 == 12 && this.cell.hasOwner()) {
				this.cell.owner().kill();
				this.cell.addScheduler();
			}
		}
		this.cell.time.runFor(60_000);
		assertThat(this.cell.workers.violations()).isEmpty();
		for (int i = 0; i < JOBS; i++) {
			assertThat(this.cell.durableState("job" + i)).as("job" + i)
				.isEqualTo(isGivenUp("job" + i) ? SubmissionState.FAILED : SubmissionState.COMPLETED);
		}
	}

	private boolean isGivenUp(String job) {
		return decisions(JobDecision.TaskGivenUp.class).stream().anyMatch((givenUp) -> givenUp.job().equals(job));
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 5, 10, 20, 50, 200, 450 })
	void tasksAreNotStartedAgainIfTheWorkerRestartsBetweenTwoOwners(long restartMillis) {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(2, false));
		}
		this.cell.time.runFor(700);
		first.kill();
		for (int i = 0; i < WORKERS; i++) {
			restart(i, restartMillis);
		}
		this.cell.time.runFor(60_000);
		assertAllCompleted();
	}

	@Test
	void aWorkerBehindACutMayRestartTwice() {
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(500);
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(2, false));
		}
		this.cell.time.runFor(700);
		owner.workerClient.disconnect("w0");
		restart(0, 200);
		this.cell.time.runFor(1000);
		restart(0, 200);
		this.cell.time.runFor(1000);
		owner.workerClient.reconnect("w0");
		this.cell.time.runFor(30_000);
		assertAllCompleted();
		assertThat(decisions(PoolDecision.WorkerRestarted.class)).hasSize(2);
	}

	@Test
	void tasksOfAWorkerBehindACutAreStartedElsewhereOnceItIsListedAsRestarted() {
		SimulatedCell.Scheduler owner = this.cell.withRunMillis(5000).addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(300);
		String worker = this.cell.workers.workerRunning(TASK);
		owner.workerClient.disconnect(worker);
		this.cell.workers.crashAndRestart(this.cell.workers.find(worker), 200);
		this.cell.time.runFor(600);
		assertThat(this.cell.workers.workerRunning(TASK)).isNotEqualTo(worker);
		this.cell.time.runFor(8000);
		owner.workerClient.reconnect(worker);
		this.cell.time.runFor(2000);
		this.cell.assertCompleted("a");
		assertThat(decisions(PoolDecision.WorkerLost.class)).hasSize(1);
	}

	@Test
	void aRestartIsLoggedOnceWithBothIncarnations() {
		this.cell.addScheduler();
		this.cell.time.runFor(2000);
		restart(0, 100);
		this.cell.time.runFor(5000);
		assertThat(decisions(PoolDecision.WorkerRestarted.class)).singleElement().satisfies((restarted) -> {
			assertThat(restarted.worker()).isEqualTo("w0");
			assertThat(restarted.startedMillis()).isEqualTo(restarted.formerStartedMillis() + 2100);
			assertThat(restarted.clockMillis()).isLessThan(restarted.formerClockMillis());
		});
		assertThat(decisions(PoolDecision.WorkerLost.class)).hasSize(1);
	}

	@Nested
	class ARestartedWorker {

		@Test
		void isGivenNoMoreThanItsNewCapacity() {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			Resources small = SimulatedCell.TASK;
			cell.workers.setRestartedCapacity(small);
			cell.workers.setListDelayMillis(1500);
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < WORKERS; i++) {
				restart(i, 100);
			}
			for (int i = 0; i < JOBS; i++) {
				cell.submit("job" + i, SimulatedCell.step(2, false));
			}
			cell.time.runFor(60_000);
			assertAllCompleted();
		}

		@Test
		void holdsNoCrashAgainstTasksThatItLostWhileItWasLeaving() {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.withRunMillis(2000).addScheduler();
			cell.time.runFor(500);
			cell.submit("a", SimulatedCell.step(1, false));
			for (int i = 0; i < 5; i++) {
				cell.time.runFor(300);
				String worker = cell.workers.workerRunning(TASK);
				cell.workers.drain(worker);
				cell.time.runFor(300);
				cell.workers.crashAndRestart(cell.workers.find(worker), 50);
				cell.time.runFor(500);
			}
			cell.time.runFor(10_000);
			cell.assertCompleted("a");
			assertThat(decisions(JobDecision.TaskLost.class)).isNotEmpty()
				.allMatch((lost) -> lost.crash().equals("NONE"));
		}

		@Test
		void isNotAvoidedForFailuresOfItsFormerIncarnation() {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.workers.find("w0").setFailing(true);
			for (int i = 1; i < WORKERS; i++) {
				cell.workers.drain("w" + i);
			}
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < 4; i++) {
				cell.submit("bad" + i, 1, SimulatedCell.step(1, false));
			}
			cell.time.runFor(1500);
			assertThat(decisions(PoolDecision.WorkerAvoided.class)).isNotEmpty();
			restart(0, 100);
			cell.time.runFor(1000);
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(1000);
			cell.assertCompleted("a");
		}

		@Test
		void isUsedAgainAtOnce() {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.addScheduler();
			cell.time.runFor(500);
			restart(0, 300);
			for (int i = 1; i < WORKERS; i++) {
				cell.workers.drain("w" + i);
			}
			cell.time.runFor(1500);
			cell.submit("a", SimulatedCell.step(4, false));
			cell.time.runFor(1000);
			cell.assertCompleted("a");
		}

	}

	@Nested
	class RequestsForTheFormerIncarnation {

		// Guards against polls that are executed late and discard ends of the next
		// incarnation.
		@ParameterizedTest
		@ValueSource(longs = { 600, 900, 1200, 2000, 3000 })
		void discardNoEndsIfTheyArePollsThatAreExecutedLate(long pollDelayMillis) {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < JOBS; i++) {
				cell.submit("job" + i, SimulatedCell.step(2, false));
				cell.time.runFor(100);
				if (i % 10 == 9) {
					int worker = i / 10;
					cell.workers.find("w" + worker).setPollDelayMillis(pollDelayMillis);
					cell.time.runFor(700);
					restart(worker, 50);
				}
			}
			cell.time.runFor(30_000);
			assertAllCompleted();
		}

		// Guards against a repeated start that reaches the next incarnation first.
		@ParameterizedTest
		@ValueSource(longs = { 2220, 2230, 2240, 2250 })
		void startNothingBeforeTheNextIncarnationIsReached(long crashMillis) {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < WORKERS; i++) {
				cell.workers.find("w" + i).setStartDelayMillis(1300);
			}
			cell.submit("a", SimulatedCell.step(1, false));
			cell.time.runFor(1500);
			String worker = cell.workers.workerRunning(TASK);
			cell.time.runFor(crashMillis - 1500);
			cell.workers.crashAndRestart(cell.workers.find(worker), 50);
			cell.time.runFor(5000);
			cell.assertCompleted("a");
		}

		// Guards against starts that are executed late, after the task runs elsewhere.
		@ParameterizedTest
		@ValueSource(longs = { 600, 900, 1200, 2000, 3000 })
		void startNothingOnceTheNextIncarnationHasReported(long startDelayMillis) {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.addScheduler();
			cell.time.runFor(500);
			for (int i = 0; i < JOBS; i++) {
				cell.submit("job" + i, SimulatedCell.step(2, false));
				if (i % 10 == 5) {
					int worker = i / 10;
					cell.workers.find("w" + worker).setStartDelayMillis(startDelayMillis);
					cell.time.runFor(500);
					restart(worker, 20);
				}
				cell.time.runFor(100);
			}
			cell.time.runFor(60_000);
			assertAllCompleted();
		}

	}

	@Nested
	class FencingTokens {

		@Test
		void followTheEpochOfAnOwnerOfAnEarlierRelease() {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			String row = """
					{"holder":"h","host":"old","epoch":7,"sequence":9,"released":true,"workers":["w0","w1"],
					"closed":{"w2":["a.0.0.0"]},"largest":null,"standbys":[],"confirming":true,"recordsCrashes":true}""";
			cell.table.client()
				.commit(PartitionWrite.to(JobTables.POOL_PARTITION).put(JobTables.OWNER, JobTables.OWNER_KEY, row));
			for (int i = 0; i < WORKERS; i++) {
				cell.workers.find("w" + i).stop(new TaskKey("other", 0, 0, 0), 1, 7);
			}
			cell.addScheduler();
			cell.time.runFor(600);
			restart(0, 100);
			cell.submit("a", SimulatedCell.step(3, false));
			cell.time.runFor(5000);
			cell.assertCompleted("a");
			assertThat(decisions(PoolDecision.OwnershipLost.class)).isEmpty();
		}

		@Test
		void thatAreUsedUpLeadToAnotherOwner() {
			SimulatedCell cell = RestartsUnderTheSameIdTests.this.cell;
			cell.startOwnerAndStandby();
			for (int i = 0; i <= OwnerLease.TOKENS_PER_EPOCH; i++) {
				restart(0, 10);
				cell.time.runFor(1000);
			}
			assertThat(decisions(PoolDecision.OwnershipLost.class)).extracting(PoolDecision.OwnershipLost::reason)
				.containsExactly("given up");
			cell.submit("a", SimulatedCell.step(3, false));
			cell.time.runFor(3000);
			cell.assertCompleted("a");
		}

	}

}
