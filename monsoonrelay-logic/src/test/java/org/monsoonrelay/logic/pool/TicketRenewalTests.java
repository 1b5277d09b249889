package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Steps that wait for something that ends at a known time have valid tickets when it
 * does, although tickets expire sooner than the wait lasts.
 */
class TicketRenewalTests {

	/**
	 * Time within which a task is started that waits for nothing else: a turn sends the
	 * write that confirms the loss of a run, the next one that of what the next owner has
	 * to know, and the third one starts the task.
	 */
	private static final long MAX_START_DELAY_MILLIS = 3 * SchedulingLoop.MAX_TURN_INTERVAL_MILLIS;

	private static final long STEP_MILLIS = 5;

	/** Longer than any wait for leases. */
	private static final long MAX_WAIT_MILLIS = 11_000;

	private static final EligibilityTimes SLOW = new EligibilityTimes(600, 6, 2500);

	private final SimulatedCell cell = new SimulatedCell().withEligibility(0.6, SLOW)
		.withRunMillis(Integer.MAX_VALUE)
		.withWorkers(8);

	private static StepSpec longRunning() {
		return new StepSpec(1, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "", "", 0, false,
				false, true, false);
	}

	private boolean isRunning(String job) {
		return this.cell.workers.runningTasks().contains(new TaskKey(job, 0, 0, 0));
	}

	private boolean hasDecided(Class<? extends Decision> kind) {
		return this.cell.decisions.stream().anyMatch(kind::isInstance);
	}

	private void runUntil(Class<? extends Decision> kind) {
		for (long waited = 0; waited < MAX_WAIT_MILLIS && !hasDecided(kind); waited += STEP_MILLIS) {
			this.cell.time.runFor(STEP_MILLIS);
		}
		assertThat(hasDecided(kind)).as(kind.getSimpleName()).isTrue();
	}

	private List<String> answered() {
		return this.cell.decisions.stream()
			.filter(JobDecision.EligibilityAnswered.class::isInstance)
			.map((decision) -> ((JobDecision.EligibilityAnswered) decision).job())
			.toList();
	}

	private String loseWorkerOf(String job) {
		String worker = this.cell.workers.workerRunning(new TaskKey(job, 0, 0, 0));
		this.cell.workers.crash(worker);
		return worker;
	}

	@Nested
	class DuringARecovery {

		private static final List<String> LONG_RUNNING = List.of("x0", "x1", "x2", "x3");

		private static final List<String> OTHERS = IntStream.range(0, 5).mapToObj((i) -> "a" + i).toList();

		private final SimulatedCell cell = TicketRenewalTests.this.cell;

		@BeforeEach
		void loseTheOwnerBesideASilentWorker() {
			this.cell.startOwnerAndStandby();
			this.cell.addScheduler();
			this.cell.addScheduler();
			this.cell.time.runFor(1000);
			OTHERS.forEach((job) -> this.cell.submit(job, SimulatedCell.step(1, false)));
			LONG_RUNNING.forEach((job) -> this.cell.submit(job, longRunning()));
			this.cell.time.runFor(100);
			this.cell.workers.crash("w7");
			this.cell.owner().kill();
			this.cell.decisions.clear();
			runUntil(PoolDecision.OwnershipTaken.class);
			this.cell.decisions.clear();
		}

		// Guards against tickets that are renewed only once the wait has ended.
		@Test
		void tasksAreStartedAsSoonAsItEnds() {
			runUntil(PoolDecision.WorkersAccounted.class);
			this.cell.time.runFor(MAX_START_DELAY_MILLIS);
			assertThat(Stream.concat(LONG_RUNNING.stream(), OTHERS.stream()))
				.allMatch(TicketRenewalTests.this::isRunning);
			assertThat(this.cell.workers.violations()).isEmpty();
		}

		@Test
		void eachStepRenewsItsTicketsOnce() {
			runUntil(PoolDecision.WorkersAccounted.class);
			this.cell.time.runFor(3000);
			Stream.concat(LONG_RUNNING.stream(), OTHERS.stream())
				.forEach((job) -> assertThat(answered()).as(job).filteredOn(job::equals).hasSizeLessThanOrEqualTo(2));
		}

		@Test
		void longRunningTasksRenewTheirsFirst() {
			this.cell.time.runFor(4000);
			assertThat(answered()).hasSize(LONG_RUNNING.size() + OTHERS.size());
			this.cell.decisions.clear();
			runUntil(PoolDecision.WorkersAccounted.class);
			assertThat(answered().stream().limit(LONG_RUNNING.size()))
				.containsExactlyInAnyOrderElementsOf(LONG_RUNNING);
		}

		// Guards against calls whose answers expire before the wait ends.
		@Test
		void ticketsAreNotRenewedLongBeforeItEnds() {
			this.cell.time.runFor(9000 - SLOW.validMillis() - (long) SLOW.costMillis(8));
			assertThat(answered()).doesNotHaveDuplicates().hasSize(LONG_RUNNING.size() + OTHERS.size());
		}

	}

	@Nested
	class BehindALostWorker {

		private static final String JOB = "x";

		private final SimulatedCell cell = TicketRenewalTests.this.cell;

		@BeforeEach
		void startALongRunningTask() {
			this.cell.startOwnerAndStandby();
			this.cell.time.runFor(1000);
			this.cell.submit(JOB, longRunning());
			this.cell.time.runFor(3000);
			assertThat(isRunning(JOB)).isTrue();
			this.cell.decisions.clear();
		}

		@Test
		void aTaskIsStartedAsSoonAsTheLeaseOfItsWorkerHasExpired() {
			loseWorkerOf(JOB);
			runUntil(PoolDecision.WorkerLost.class);
			this.cell.time.runFor(MAX_START_DELAY_MILLIS);
			assertThat(isRunning(JOB)).isTrue();
			assertThat(answered()).hasSize(1);
			assertThat(this.cell.workers.violations()).isEmpty();
		}

		@Test
		void aTaskIsStartedAsSoonAsTheLeaseHasExpiredThatAnEarlierOwnerGranted() {
			loseWorkerOf(JOB);
			this.cell.time.runFor(1500);
			this.cell.owner().kill();
			runUntil(PoolDecision.InheritedWorkerLost.class);
			this.cell.time.runFor(MAX_START_DELAY_MILLIS);
			assertThat(isRunning(JOB)).isTrue();
			assertThat(answered()).hasSizeLessThanOrEqualTo(2);
			assertThat(this.cell.workers.violations()).isEmpty();
		}

	}

}
