package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * An owner logs why steps wait.
 */
class WaitReporterTests {

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private final SimulatedCell cell = new SimulatedCell();

	private List<JobDecision.StepWaiting> linesOf(String job) {
		return this.cell.decisions.stream()
			.filter(JobDecision.StepWaiting.class::isInstance)
			.map(JobDecision.StepWaiting.class::cast)
			.filter((line) -> line.job().equals(job))
			.toList();
	}

	private List<Map<String, Integer>> counts() {
		return this.cell.decisions.stream()
			.filter(PoolDecision.StepsWaiting.class::isInstance)
			.map((decision) -> ((PoolDecision.StepsWaiting) decision).steps())
			.toList();
	}

	private void startOwner(int workers) {
		this.cell.withWorkers(workers).addScheduler();
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
	}

	@Test
	void logsAStepThatWaitsForCapacityAndItsEnd() {
		this.cell.withRunMillis(8000);
		startOwner(1);
		this.cell.submit("a", SimulatedCell.step(6, false));
		this.cell.time.runFor(7500);
		assertThat(linesOf("a")).hasSize(2).allSatisfy((line) -> {
			assertThat(line.reason()).isEqualTo("NO_CAPACITY");
			assertThat(line.waitedMillis()).isGreaterThanOrEqualTo(WaitReporter.MIN_WAIT_MILLIS);
			assertThat(List.of(line.tasks(), line.running(), line.matchingWorkers(), line.eligibleWorkers(),
					line.acceptingWorkers(), line.freeSlots()))
				.containsExactly(2, 4, 1, 1, 1, 0);
		});
		assertThat(counts()).isNotEmpty().containsOnly(Map.of("NO_CAPACITY", 1));
		this.cell.time.runFor(4000);
		assertThat(counts()).last().isEqualTo(Map.of());
	}

	@Test
	void logsNothingOfAStepThatIsStartedSoon() {
		startOwner(1);
		this.cell.submit("a", SimulatedCell.step(8, false));
		this.cell.time.runFor(3000);
		this.cell.assertCompleted("a");
		assertThat(linesOf("a")).isEmpty();
		assertThat(counts()).isEmpty();
	}

	@Test
	void logsThatRunsOfAnEarlierOwnerAreNotKnown() {
		this.cell.withWorkers(2).startOwnerAndStandby();
		this.cell.schedulers.get(1).workerClient.disconnect("w1");
		this.cell.owner().workerClient.disconnect("w0");
		this.cell.time.runFor(1000);
		this.cell.submit("a", SimulatedCell.step(6, false));
		this.cell.time.runFor(100);
		this.cell.owner().kill();
		this.cell.time.runFor(6000);
		assertThat(linesOf("a")).extracting(JobDecision.StepWaiting::reason).contains("OWNER_RECOVERY");
	}

	@Test
	void logsHowManyWorkersWithRoomHaveValidTickets() {
		this.cell.withEligibility(1, 20).withWorkers(3).startOwnerAndStandby();
		this.cell.schedulers.get(1).workerClient.disconnect("w1");
		this.cell.time.runFor(1000);
		this.cell.submit("a", SimulatedCell.step(12, false));
		this.cell.time.runFor(100);
		// The first line is then written before the tickets expire.
		this.cell.table.setReadLatency(0);
		this.cell.owner().kill();
		this.cell.time.runFor(8500);
		assertThat(linesOf("a")).filteredOn((line) -> line.reason().equals("OWNER_RECOVERY"))
			.extracting(JobDecision.StepWaiting::workersWithRoom, JobDecision.StepWaiting::workersWithTicket)
			.startsWith(tuple(2, 2))
			.endsWith(tuple(2, 0));
	}

	@Test
	void logsThatTheCrashUnderATaskIsNotDurable() {
		this.cell.withRunMillis(20_000).withWorkers(2);
		SimulatedCell.Scheduler owner = this.cell.addScheduler();
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(500);
		owner.tableClient.setDisconnected(true);
		owner.workerClient.disconnect(this.cell.workers.workerRunning(TASK));
		this.cell.time.runFor(12_000);
		assertThat(linesOf("a")).extracting(JobDecision.StepWaiting::reason).contains("RECORDS_NOT_DURABLE");
	}

	@Test
	void logsThatCapacityIsReservedForAGang() {
		this.cell.withRunMillis(6000);
		startOwner(2);
		this.cell.submit("busy", SimulatedCell.step(4, false));
		this.cell.time.runFor(200);
		this.cell.submit("gang", SimulatedCell.step(8, true));
		this.cell.time.runFor(200);
		this.cell.submit("a", longStep());
		this.cell.time.runFor(2000);
		assertThat(linesOf("gang")).extracting(JobDecision.StepWaiting::reason).contains("NO_CAPACITY");
		assertThat(linesOf("a")).extracting(JobDecision.StepWaiting::reason).contains("CAPACITY_RESERVED");
	}

	// With so much slack that it leaves the capacity to the gang.
	private static StepSpec longStep() {
		return new StepSpec(1, SimulatedCell.TASK, 20_000, List.of(), false, false, "", "", 0, false, false, false,
				false);
	}

	@Test
	void logsThatAnotherSuspectedTaskHasJustBeenStarted() {
		new CrashingTasks(this.cell, (task) -> this.cell.workers.startCount(task) <= 2);
		this.cell.withRunMillis(20_000);
		startOwner(6);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.submit("b", SimulatedCell.step(1, false));
		for (int millis = 0; millis < 20_000 && this.cell.workers.startCount(TASK) < 3; millis++) {
			this.cell.time.runFor(1);
		}
		this.cell.owner().workerClient.disconnect(this.cell.workers.workerRunning(TASK));
		this.cell.time.runFor(3000);
		assertThat(linesOf("b")).extracting(JobDecision.StepWaiting::reason).contains("CRASH_ISOLATION");
	}

}
