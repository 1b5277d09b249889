package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class MisbehavingWorkersTests {

	private static final long LEASE_OVER_MILLIS = 10_000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(3);

	private void isServed(String job) {
		assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
		assertThat(this.cell.workers.faults()).isEmpty();
	}

	@Test
	void aStartWithoutAnAnswerIsNotRunElsewhereBeside() {
		this.cell.workers.add("w9", SimulatedCell.CAPACITY).losesStartAnswers(true);
		this.cell.addScheduler();
		this.cell.submit("a", SimulatedCell.step(14, false));
		this.cell.time.runFor(6000);
		isServed("a");
	}

	@Test
	void aStartThatIsCarriedOutLateNeitherOverfillsNorRunsTwice() {
		SimulatedWorkers.Machine late = this.cell.workers.add("w9", SimulatedCell.CAPACITY);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		late.startsLate(3000);
		for (int i = 0; i < 6; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(5, i % 2 == 0));
		}
		this.cell.time.runFor(2500);
		late.startsLate(0);
		this.cell.time.runFor(LEASE_OVER_MILLIS);
		for (int i = 0; i < 6; i++) {
			isServed("job" + i);
		}
	}

	@Test
	void tasksOfACrashedWorkerRunAgainOnceItsLeaseIsOver() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		SimulatedWorkers.Machine lost = this.cell.workers.add("w9", SimulatedCell.CAPACITY);
		this.cell.time.runFor(1000);
		this.cell.submit("a", SimulatedCell.step(16, true));
		this.cell.time.runFor(200);
		assertThat(lost.runningCount()).isPositive();
		lost.crash();
		lost.unlist();
		this.cell.workers.add("w10", SimulatedCell.CAPACITY);
		this.cell.time.runFor(LEASE_OVER_MILLIS);
		isServed("a");
	}

	@Test
	void aWorkerThatIsCutOffAndComesBackRunsNothingTwice() {
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.submit("a", SimulatedCell.step(12, false), SimulatedCell.step(12, false, 0));
		this.cell.time.runFor(300);
		owner.workerClient.cut("w1");
		this.cell.time.runFor(LEASE_OVER_MILLIS);
		owner.workerClient.join("w1");
		this.cell.time.runFor(3000);
		isServed("a");
	}

	@Test
	void aWorkerThatIsSilentWithinItsLeaseKeepsItsTasks() {
		SimulatedCell cell = new SimulatedCell().withWorkers(2).withRunMillis(4000);
		SimulatedCell.Scheduler owner = cell.addScheduler();
		cell.time.runFor(600);
		cell.submit("a", SimulatedCell.step(6, false));
		cell.time.runFor(300);
		owner.workerClient.cut("w0");
		cell.time.runFor(2500);
		owner.workerClient.join("w0");
		cell.time.runFor(4000);
		assertThat(cell.durableState("a")).isEqualTo(SubmissionState.COMPLETED);
		assertThat(cell.workers.faults()).isEmpty();
		for (int i = 0; i < 6; i++) {
			assertThat(cell.workers.startsOf(new TaskKey("a", 0, 0, i))).isEqualTo(1);
		}
	}

	@Test
	void aWorkerThatFailsAllItStartsIsAvoided() {
		this.cell.workers.add("bad", SimulatedCell.CAPACITY).fails(true);
		this.cell.addScheduler();
		for (int i = 0; i < 12; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(4, false));
			this.cell.time.runFor(300);
		}
		this.cell.time.runFor(3000);
		for (int i = 0; i < 12; i++) {
			isServed("job" + i);
		}
	}

	@Nested
	class ThatLoseTheAnswersOfStarts {

		private static final int TASKS = 6;

		private final SimulatedCell cell = new SimulatedCell().withRunMillis(1500);

		@BeforeEach
		void addWorkers() {
			for (int i = 0; i < 3; i++) {
				this.cell.workers.add("w" + i, SimulatedCell.CAPACITY).losesStartAnswers(true);
			}
		}

		private void ranOnce(String job) {
			assertThat(this.cell.durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
			assertThat(this.cell.workers.faults()).isEmpty();
			for (int i = 0; i < TASKS; i++) {
				assertThat(this.cell.workers.startsOf(new TaskKey(job, 0, 0, i))).isEqualTo(1);
			}
		}

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void runEachTaskOnce(boolean gang) {
			this.cell.addScheduler();
			this.cell.time.runFor(500);
			this.cell.submit("a", SimulatedCell.step(TASKS, gang));
			this.cell.time.runFor(LEASE_OVER_MILLIS);
			ranOnce("a");
		}

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void runEachTaskOnceThoughTheOwnerIsLostBeforeItKnows(boolean gang) {
			SimulatedCell.Scheduler first = this.cell.addScheduler();
			this.cell.addScheduler();
			this.cell.time.runFor(500);
			this.cell.submit("a", SimulatedCell.step(TASKS, gang));
			this.cell.time.runFor(100);
			assertThat(this.cell.workers.aliveCount()).isEqualTo(TASKS);
			first.kill();
			this.cell.time.runFor(LEASE_OVER_MILLIS + 3000);
			ranOnce("a");
		}

	}

}
