package org.monsoonrelay.logic.pool;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.rows.RowLimits;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

class RowsOfTimetablesTests {

	private static final String JOB = "0000000000000001";

	private static final int OCCURRENCES = 96;

	private static final StepSpec[] STEPS = Collections.nCopies(10, SimulatedCell.step(1, false))
		.toArray(StepSpec[]::new);

	private final Set<TaskKey> started = new HashSet<>();

	// The first occurrence ends last, so that the others are not complete in their order.
	private final SimulatedCell cell = new SimulatedCell().withWorkers(60).withRunMillis((task) -> {
		this.started.add(task);
		return (task.occurrence() == 0) ? 20_000 : 300;
	});

	private static long openOccurrences(String row) {
		return row.isEmpty() ? 0
				: Json.read(row, JobProgress.class)
					.steps()
					.keySet()
					.stream()
					.filter((key) -> key.contains("."))
					.map((key) -> key.substring(0, key.indexOf('.')))
					.distinct()
					.count();
	}

	@Test
	void stayWithinTheirLimitIfAllOccurrencesAreDueAtOnce() {
		SimulatedCell.Scheduler first = this.cell.startOwnerAndStandby();
		Submission submission = this.cell.submit(JOB, 3, new Timetable(1, 0, OCCURRENCES), STEPS);
		int limit = RowLimits.DEFAULT.openOccurrences(submission);
		assertThat(limit).isLessThan(OCCURRENCES / 2);
		for (int i = 0; i < 60; i++) {
			this.cell.time.runFor(100);
			String row = this.cell.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, JOB);
			assertThat(row.length()).isLessThanOrEqualTo(RowLimits.DEFAULT.rowBytes());
			assertThat(openOccurrences(row)).isLessThanOrEqualTo(limit);
			if (i == 10) {
				first.kill();
			}
		}
		this.cell.time.runFor(60_000);
		this.cell.assertCompleted(JOB);
		assertThat(this.started).hasSize(OCCURRENCES * STEPS.length);
	}

}
