package org.monsoonrelay.logic.pool;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against taking a run for lost that is in neither list of a report while its end
 * is late: the last end for less than a round trip, another one for longer.
 */
class RunsInNeitherListTests {

	private static final int TASKS = 10;

	private static final long RUN_MILLIS = 1000;

	private final SimulatedCell cell = new SimulatedCell().withRunMillis(RUN_MILLIS);

	@ParameterizedTest
	@CsvSource({ "9, 2", "3, 60" })
	void areNotTakenForLost(int task, long lateMillis) {
		this.cell.workers.add("w", new Resources(200_000, 100_000, 0));
		TaskKey late = new TaskKey("job", 0, 0, task);
		this.cell.workers.setLateEnds((ended) -> ended.equals(late) ? lateMillis : 0, false);
		this.cell.addScheduler();
		this.cell.time.runFor(1000);
		this.cell.submit("job", SimulatedCell.step(TASKS, false));
		this.cell.time.runFor(10_000);
		assertThat(this.cell.decisions).noneMatch(JobDecision.TaskLost.class::isInstance);
		assertThat(this.cell.workers.startCount(late)).isEqualTo(1);
		this.cell.assertCompleted("job");
	}

}
