package org.monsoonrelay.logic.pool;

import java.util.Collections;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against jobs whose progress outgrows the row in which it is stored.
 */
class LargeJobsTests {

	private static final int OCCURRENCES = 96;

	private static final int STEPS = 10;

	private static final long INTERVAL_MILLIS = 100;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(20).withRunMillis(50);

	private final SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();

	private void assertCompleted(String job) {
		this.cell.assertCompleted(job);
		assertThat(this.cell.decisions).noneMatch(PoolDecision.WriteRefused.class::isInstance)
			.noneMatch(JobDecision.ProgressRejected.class::isInstance);
	}

	private boolean isRowCompact(String job) {
		return this.cell.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, job).contains("\"compact\"");
	}

	@Test
	void ofTenStepsThatRunNinetySixTimesDoEachTaskOnceBesideALostOwner() {
		this.cell.submit("timetable", 3,
				new Timetable(this.cell.time.millis() + INTERVAL_MILLIS, INTERVAL_MILLIS, OCCURRENCES),
				Collections.nCopies(STEPS, SimulatedCell.step(1, false)).toArray(StepSpec[]::new));
		this.cell.time.runFor(OCCURRENCES * INTERVAL_MILLIS * 3 / 4);
		assertThat(isRowCompact("timetable")).isTrue();
		this.first.kill();
		this.cell.time.runFor(20_000);
		assertCompleted("timetable");
		for (int occurrence = 0; occurrence < OCCURRENCES; occurrence++) {
			for (int step = 0; step < STEPS; step++) {
				assertThat(this.cell.workers.startCount(new TaskKey("timetable", occurrence, step, 0))).isEqualTo(1);
			}
		}
	}

	@Test
	void ofOneWideStepAreAcceptedAndDoEachTaskOnceBesideALostOwner() {
		this.cell.submit("wide", SimulatedCell.step(8000, false));
		this.cell.time.runFor(6000);
		assertThat(this.cell.durableState("wide")).isEqualTo(SubmissionState.RUNNING);
		this.first.kill();
		this.cell.time.runFor(60_000);
		assertCompleted("wide");
		for (int task = 0; task < 8000; task++) {
			assertThat(this.cell.workers.startCount(new TaskKey("wide", 0, 0, task))).isEqualTo(1);
		}
	}

	@Test
	void doNotStopTheJobsBesideThem() {
		this.cell.submit("wide", SimulatedCell.step(4000, false));
		this.cell.time.runFor(3000);
		this.cell.submit("small", SimulatedCell.step(4, false));
		this.cell.time.runFor(30_000);
		assertCompleted("wide");
		assertCompleted("small");
	}

}
