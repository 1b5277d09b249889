package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Finds out from a job's id, using only the log lines that a simulated cell wrote, why
 * its steps wait.
 */
class StepWaitDiagnosisTests {

	private final SimulatedCell cell = new SimulatedCell();

	private SimulatedCell.Scheduler startOwner() {
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
		return owner;
	}

	private List<String> waits(String job) {
		return this.cell.logs.story(job).causes().stream().filter((cause) -> cause.startsWith("step ")).toList();
	}

	@Test
	void aStepThatIsStartedSoonHasNoSentence() {
		this.cell.withWorkers(1);
		startOwner();
		this.cell.submit("a", SimulatedCell.step(4, false));
		this.cell.time.runFor(3000);
		this.cell.assertCompleted("a");
		assertThat(waits("a")).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(WaitReason.class)
	void eachReasonIsDescribedInWords(WaitReason reason) {
		this.cell.logs.write("s0", 0,
				new JobDecision.StepWaiting("a", "0.0", reason.name(), 900, 1500, 2, 0, 0, 3, 3, 1, 0, 0, 0));
		assertThat(waits("a")).singleElement()
			.asString()
			.matches("step 0\\.0 waits for 1\\.5 s or longer without a start: [a-z].+ \\(" + reason
					+ "\\); 2 waiting tasks; .*");
	}

	@Nested
	class AStepWithoutRoom {

		private final SimulatedCell cell = StepWaitDiagnosisTests.this.cell.withWorkers(1).withRunMillis(8000);

		@Test
		void waitsWhileItsJobHasNotEndedAndWaitedAfterwards() {
			startOwner();
			this.cell.submit("a", SimulatedCell.step(6, false));
			this.cell.time.runFor(7500);
			assertThat(waits("a")).singleElement()
				.asString()
				.matches("step 0\\.0 waits for [67]\\.\\d s or longer without a start: no eligible worker that accepts "
						+ "work and has enough room \\(NO_CAPACITY\\); 2 waiting tasks; 1 of 1 eligible workers "
						+ "accepting work, with room for 0 tasks of the step");
			this.cell.time.runFor(20_000);
			this.cell.assertCompleted("a");
			assertThat(waits("a")).singleElement()
				.asString()
				.matches("step 0\\.0 waited for [67]\\.\\d s or longer without a start: .* \\(NO_CAPACITY\\); .*");
		}

		@Test
		void waitedOnceItsTasksAreStartedAlthoughAnotherOneWaits() {
			startOwner();
			this.cell.submit("a", SimulatedCell.step(6, false), SimulatedCell.step(4, false));
			this.cell.time.runFor(12_000);
			assertThat(waits("a")).hasSize(2)
				.satisfiesExactly((first) -> assertThat(first).startsWith("step 0.0 waited for "),
						(second) -> assertThat(second).startsWith("step 0.1 waits for "));
		}

	}

	@Nested
	class AStepBehindAnotherReason {

		private final SimulatedCell cell = StepWaitDiagnosisTests.this.cell.withWorkers(2);

		@Test
		void waitsForWhatRunsOnTheWorkersOfTheFormerOwner() {
			this.cell.startOwnerAndStandby();
			this.cell.schedulers.get(1).workerClient.disconnect("w1");
			this.cell.owner().workerClient.disconnect("w0");
			this.cell.time.runFor(1000);
			this.cell.submit("a", SimulatedCell.step(6, false));
			this.cell.time.runFor(100);
			this.cell.owner().kill();
			this.cell.time.runFor(6000);
			assertThat(waits("a")).singleElement()
				.asString()
				.startsWith("step 0.0 waits for ")
				.contains("not known yet what runs on the workers of the former owner (OWNER_RECOVERY)");
		}

		@Test
		void waitedForRoomUnderTheFormerOwner() {
			this.cell.withRunMillis(30_000).startOwnerAndStandby();
			this.cell.submit("a", SimulatedCell.step(12, false));
			this.cell.time.runFor(3000);
			this.cell.schedulers.get(1).workerClient.disconnect("w1");
			this.cell.owner().kill();
			this.cell.time.runFor(6000);
			assertThat(waits("a")).singleElement()
				.asString()
				.startsWith("step 0.0 waits for ")
				.contains("(OWNER_RECOVERY); ")
				.endsWith("; other reasons, in order: no eligible worker that accepts work and has enough room "
						+ "(NO_CAPACITY)");
		}

		@Test
		void waitsForARecordOfTheCrashUnderItsTask() {
			this.cell.withRunMillis(20_000);
			SimulatedCell.Scheduler owner = startOwner();
			this.cell.submit("a", SimulatedCell.step(1, false));
			this.cell.time.runFor(500);
			owner.tableClient.setDisconnected(true);
			owner.workerClient.disconnect(this.cell.workers.workerRunning(new TaskKey("a", 0, 0, 0)));
			this.cell.time.runFor(12_000);
			assertThat(waits("a")).singleElement()
				.asString()
				.contains("a crash or start that the next owner has to know of not durable yet (RECORDS_NOT_DURABLE)")
				.contains("; no task that may be started; ");
		}

	}

}
