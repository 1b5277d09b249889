package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What an owner behind a cut goes on to start, and how long a lost task waits for the
 * renewal that confirms its loss.
 */
class StartsBehindCutsTests {

	private static final long LEASE_EXPIRY_MILLIS = (long) (OwnerLease.MAX_WORKER_LEASE_MILLIS
			/ WorkerLease.MIN_CLOCK_RATE);

	private static final long WRITE_MILLIS = 1500;

	private final OwnerBehindCut cut = new OwnerBehindCut();

	private final SimulatedCell cell = this.cut.cell;

	private void assertStartedBehindTheCut(TaskKey task, int starts) {
		assertThat(this.cell.workers.workerRunning(task)).isEqualTo("near");
		assertThat(this.cut.startCount(task)).isEqualTo(starts);
		this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
		this.cut.endCut();
		this.cell.assertCompleted(task.job());
	}

	@Test
	void tasksOfAJobAcceptedBeforeTheCutAreStartedForTheFirstTime() {
		this.cell.withRunMillis(OwnerBehindCut.RUN_MILLIS).submit("a", SimulatedCell.step(8, false));
		this.cell.submit("b", SimulatedCell.step(1, false));
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.runningTaskCount()).isEqualTo(8);
		this.cut.beginCut();
		this.cell.time.runFor(OwnerBehindCut.RUN_MILLIS);
		assertStartedBehindTheCut(new TaskKey("b", 0, 0, 0), 1);
	}

	@Test
	void aStepIsStartedOnceItsDependencyHasEndedBehindTheCut() {
		this.cut.startOn("near", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false),
				SimulatedCell.step(1, false, 0));
		this.cut.beginCut();
		this.cell.time.runFor(OwnerBehindCut.RUN_MILLIS);
		assertStartedBehindTheCut(new TaskKey("a", 0, 1, 0), 1);
	}

	@Test
	void theNextOccurrenceOfATimetableIsStarted() {
		this.cell.withRunMillis(2000);
		this.cell.submit("a", 3, new Timetable(this.cell.time.millis(), 5000, 2), SimulatedCell.step(1, false));
		this.cell.time.runFor(1000);
		this.cut.beginCut();
		this.cell.time.runFor(5000);
		assertStartedBehindTheCut(new TaskKey("a", 1, 0, 0), 1);
	}

	@Test
	void aTaskWhoseFailureIsReportedBehindTheCutIsRetriedThere() {
		this.cell.workers.find("near").setFailing(true);
		this.cut.startOn("near", OwnerBehindCut.RUN_MILLIS, SimulatedCell.step(1, false));
		this.cell.workers.find("near").setFailing(false);
		this.cut.beginCut();
		this.cell.time.runFor(OwnerBehindCut.RUN_MILLIS);
		assertStartedBehindTheCut(OwnerBehindCut.TASK, 2);
	}

	@Test
	void runsOnBothSidesSurviveACutOfSixSeconds() {
		StepSpec step = SimulatedCell.step(8, false);
		this.cell.withRunMillis(12_000).submit("a", step);
		this.cell.time.runFor(1000);
		this.cut.beginCut();
		this.cell.time.runFor(6000);
		this.cut.endCut();
		this.cell.assertCompleted("a");
		for (int i = 0; i < step.count(); i++) {
			assertThat(this.cut.startCount(new TaskKey("a", 0, 0, i))).isEqualTo(1);
		}
	}

	@Test
	void aHealthyOwnerStartsTheTasksOfASilentWorkerSoonAfterItsLeaseHasExpired() {
		this.cut.startOn("far", 20_000, SimulatedCell.step(1, false));
		this.cut.former.workerClient.disconnect("far");
		long millis = this.cut.runUntil(() -> this.cut.startCount(OwnerBehindCut.TASK) == 2, 10_000);
		assertThat(millis).isBetween(OwnerLease.MAX_WORKER_LEASE_MILLIS, LEASE_EXPIRY_MILLIS + 500);
		assertThat(this.cell.workers.workerRunning(OwnerBehindCut.TASK)).isEqualTo("near");
		this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
		this.cell.assertCompleted("a");
	}

	@Test
	void aLostTaskWaitsForARenewalWhileTheTableIsSlow() {
		this.cut.startOn("far", 20_000, SimulatedCell.step(1, false));
		this.cut.drainFarWorker();
		this.cut.successor.kill();
		this.cut.former.tableClient.setWriteLatency(WRITE_MILLIS);
		this.cell.time.runFor(2 * WRITE_MILLIS);
		this.cut.former.workerClient.disconnect("far");
		this.cut.runUntil(this::isLost, 10_000);
		long millis = this.cut.runUntil(() -> this.cut.startCount(OwnerBehindCut.TASK) == 2, 10_000);
		assertThat(millis).isBetween(WRITE_MILLIS, 2 * WRITE_MILLIS + 500);
		this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
		this.cell.assertCompleted("a");
	}

	@Test
	void aLostTaskIsStartedAgainAtOnceByAnOwnerThatRenewsItsRecord() {
		this.cut.startOn("far", 20_000, SimulatedCell.step(1, false));
		this.cut.drainFarWorker();
		this.cut.former.workerClient.disconnect("far");
		this.cut.runUntil(this::isLost, 10_000);
		this.cut.runUntil(() -> this.cut.startCount(OwnerBehindCut.TASK) == 2, 100);
		this.cell.time.runFor(OwnerBehindCut.CUT_MILLIS);
		this.cell.assertCompleted("a");
	}

	private boolean isLost() {
		return this.cell.logs.story("a").lines().stream().anyMatch((line) -> line.event().equals("TaskLost"));
	}

}
