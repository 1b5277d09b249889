package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Start requests that a worker leaves unanswered and executes seconds later, some of them
 * by its next incarnation.
 */
class LateStartsTests {

	private static final int WORKERS = 4;

	private static final long DELAY_MILLIS = 4000;

	/** From the first request until the worker answers starts again. */
	private static final long UNANSWERED_MILLIS = 2000;

	/** Until all requests are executed or lost, and what they started has ended. */
	private static final long SETTLED_MILLIS = 40_000;

	/** From the crash until the request is executed, before the next poll. */
	private static final long RESTART_BEFORE_EXECUTION_MILLIS = 30;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS);

	private String worker;

	private long sentMillis;

	@BeforeEach
	void keepIds() {
		this.cell.workers.setRestartedId(RestartedId.SAME);
		this.cell.workers.setListDelayMillis(1000);
	}

	private void sendLateStart() {
		this.cell.submit("a", SimulatedCell.step(1, false));
		awaitLateStart(1);
	}

	// Delays the start of the last of some placements.
	private void awaitLateStart(int placements) {
		setStartDelays(DELAY_MILLIS);
		while (placements().size() < placements) {
			this.cell.time.runFor(1);
		}
		this.worker = placements().get(placements - 1).worker();
		this.sentMillis = this.cell.time.millis();
		for (int i = 0; i < WORKERS; i++) {
			if (!this.worker.equals("w" + i)) {
				this.cell.workers.find("w" + i).setStartDelayMillis(0);
			}
		}
		this.cell.time.schedule(() -> this.cell.workers.find(this.worker).setStartDelayMillis(0), UNANSWERED_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void setStartDelays(long millis) {
		for (int i = 0; i < WORKERS; i++) {
			this.cell.workers.find("w" + i).setStartDelayMillis(millis);
		}
	}

	private List<JobDecision.TaskPlaced> placements() {
		return this.cell.decisions.stream()
			.filter(JobDecision.TaskPlaced.class::isInstance)
			.map(JobDecision.TaskPlaced.class::cast)
			.toList();
	}

	// The next incarnation executes the request before any poll reaches it.
	private void restartBeforeExecution() {
		long crashMillis = this.sentMillis + DELAY_MILLIS - RESTART_BEFORE_EXECUTION_MILLIS;
		this.cell.time.runFor(crashMillis - this.cell.time.millis());
		this.cell.workers.crashAndRestart(this.cell.workers.find(this.worker), RESTART_BEFORE_EXECUTION_MILLIS / 2);
	}

	private void assertCompletedWithoutASecondRun() {
		this.cell.time.runFor(SETTLED_MILLIS);
		this.cell.assertCompleted("a");
	}

	// Guards against a task that completes elsewhere and is then run by a late start.
	@Test
	void thatWereGivenUpRunNoTaskAgainOnTheNextIncarnation() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		sendLateStart();
		restartBeforeExecution();
		assertCompletedWithoutASecondRun();
	}

	// Guards against a request that outlives two incarnations.
	@Test
	void thatTheNextIncarnationDidNotExecuteRunNoTaskAgainOnTheOneAfterIt() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		sendLateStart();
		this.cell.time.runFor(700);
		this.cell.workers.crashAndRestart(this.cell.workers.find(this.worker), 50);
		restartBeforeExecution();
		assertCompletedWithoutASecondRun();
	}

	@Test
	void areAwaitedNoLongerThanWorkersTakeToExecuteThem() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		sendLateStart();
		this.cell.time.runFor(100);
		this.cell.workers.crashAndRestart(this.cell.workers.find(this.worker), 10);
		this.cell.workers.setLosingLateRequests(true);
		this.cell.time.runFor(UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS);
		this.cell.time.runFor(2000);
		this.cell.assertCompleted("a");
		assertThat(placements()).hasSize(2);
	}

	// Guards against a given up start that runs beside the task's next run.
	@Test
	void ofALongRunningTaskRunItOnOneWorkerOnly() {
		this.cell.withRunMillis(60_000).addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("a", new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "",
				"", 0, false, false, true, false));
		awaitLateStart(1);
		this.cell.workers.drain(this.worker);
		restartBeforeExecution();
		this.cell.time.runFor(5000);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	@Test
	void ofACancelledJobStartNothingOnTheNextIncarnation() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		sendLateStart();
		this.cell.time.runFor(100);
		this.cell.cancel("a");
		restartBeforeExecution();
		this.cell.time.runFor(5000);
		assertThat(this.cell.workers.startCount(new TaskKey("a", 0, 0, 0))).isZero();
	}

	@Test
	void areNotSentAgainBeforeTheWorkerExecutesThem() {
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		sendLateStart();
		this.cell.time.runFor(6000);
		this.cell.assertCompleted("a");
		assertThat(placements()).hasSize(1);
		assertThat(this.cell.decisions).filteredOn(JobDecision.StartConfirmedLate.class::isInstance)
			.singleElement(InstanceOfAssertFactories.type(JobDecision.StartConfirmedLate.class))
			.satisfies((late) -> assertThat(late.ageMillis()).isBetween(DELAY_MILLIS, DELAY_MILLIS + 1000));
	}

	@Test
	void areNotAwaitedOnceAnotherWorkerAnswersAtTheAddress() {
		this.cell.workers.setRestartedId(RestartedId.NEW);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		sendLateStart();
		this.cell.time.runFor(100);
		this.cell.workers.crashAndRestart(this.cell.workers.find(this.worker), 10);
		this.cell.time.runFor(2000);
		this.cell.assertCompleted("a");
	}

	@Nested
	class AfterATakeOver {

		private void assertTaskRunsOnceIfTheOwnerIsLost(SimulatedCell.Scheduler owner, long takeOverMillis) {
			LateStartsTests test = LateStartsTests.this;
			test.setStartDelays(0);
			test.cell.time.runFor(takeOverMillis);
			owner.kill();
			test.restartBeforeExecution();
			test.assertCompletedWithoutASecondRun();
		}

		// Guards against a successor that does not know of its predecessor's requests.
		@ParameterizedTest
		@ValueSource(longs = { 50, 450, 1000, 1900, 2500, 3500 })
		void runNoTaskAgainOnTheNextIncarnation(long takeOverMillis) {
			LateStartsTests test = LateStartsTests.this;
			SimulatedCell.Scheduler first = test.cell.startOwnerAndStandby();
			test.sendLateStart();
			assertTaskRunsOnceIfTheOwnerIsLost(first, takeOverMillis);
		}

		// Guards against an owner that is lost before its record tells of a start.
		@ParameterizedTest
		@ValueSource(longs = { 1, 10, 20 })
		void runNoTaskAgainIfTheOwnerIsLostJustAfterItsRequest(long takeOverMillis) {
			LateStartsTests test = LateStartsTests.this;
			SimulatedCell.Scheduler first = test.cell.startOwnerAndStandby();
			test.sendLateStart();
			assertTaskRunsOnceIfTheOwnerIsLost(first, takeOverMillis);
		}

		// Guards against an owner that sends starts while its record is not written.
		@ParameterizedTest
		@ValueSource(longs = { 1, 20, 100, 500 })
		void runNoTaskAgainIfTheRecordWasNotWritten(long takeOverMillis) {
			LateStartsTests test = LateStartsTests.this;
			SimulatedCell.Scheduler first = test.cell.startOwnerAndStandby();
			test.cell.submit("a", SimulatedCell.step(1, false), SimulatedCell.step(1, false, 0));
			test.cell.time.runFor(300);
			first.tableClient.setWriteDelay(60_000);
			test.awaitLateStart(2);
			assertTaskRunsOnceIfTheOwnerIsLost(first, takeOverMillis);
		}

		@Test
		void runNoTaskAgainAfterAnotherTakeOver() {
			LateStartsTests test = LateStartsTests.this;
			SimulatedCell.Scheduler first = test.cell.startOwnerAndStandby();
			test.cell.addScheduler();
			test.sendLateStart();
			test.cell.time.runFor(500);
			first.kill();
			test.cell.time.runFor(1500);
			test.cell.owner().kill();
			test.restartBeforeExecution();
			test.assertCompletedWithoutASecondRun();
		}

		// Guards against a wait for lost requests that each take-over starts anew.
		@Test
		void delayTheTaskNoLongerThanTheRequestMayBeExecuted() {
			LateStartsTests test = LateStartsTests.this;
			SimulatedCell.Scheduler first = test.cell.startOwnerAndStandby();
			test.cell.addScheduler();
			test.sendLateStart();
			test.cell.time.runFor(2500);
			test.cell.workers.crash(test.worker);
			first.kill();
			test.cell.time.runFor(4000);
			test.cell.owner().kill();
			test.cell.time
				.runFor(UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS - 6500 + OwnerLease.RENEWAL_INTERVAL_MILLIS);
			assertThat(test.placements()).hasSize(2);
			test.assertCompletedWithoutASecondRun();
		}

	}

	@Nested
	class ThatCarryATicket {

		@BeforeEach
		void requireTickets() {
			LateStartsTests.this.cell.withEligibility();
		}

		// Later incarnations refuse the ticket, so that nothing has to wait.
		@Test
		void areRepeatedAndDelayNoTask() {
			LateStartsTests test = LateStartsTests.this;
			test.cell.addScheduler();
			test.cell.time.runFor(500);
			test.sendLateStart();
			test.cell.workers.find(test.worker).setStartDelayMillis(0);
			test.cell.time.runFor(1500);
			test.cell.assertCompleted("a");
			assertThat(test.placements()).hasSize(1);
		}

		@Test
		void areRefusedByTheNextIncarnationOnceTheTaskHasCompletedElsewhere() {
			LateStartsTests test = LateStartsTests.this;
			test.cell.addScheduler();
			test.cell.time.runFor(500);
			test.sendLateStart();
			test.cell.time.runFor(3500);
			test.cell.assertCompleted("a");
			test.restartBeforeExecution();
			test.assertCompletedWithoutASecondRun();
		}

	}

}
