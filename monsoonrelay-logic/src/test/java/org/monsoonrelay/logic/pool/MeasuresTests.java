package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Metric;

import static org.assertj.core.api.Assertions.assertThat;

class MeasuresTests {

	private final SimulatedCell cell = new SimulatedCell();

	private List<Long> valuesOf(Metric measure) {
		return this.cell.measures.getOrDefault(measure, List.of());
	}

	private void startSchedulerWithWorker(boolean isFailing) {
		this.cell.workers.add("w0", SimulatedCell.CAPACITY).setFailing(isFailing);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
	}

	@Test
	void ofAStartAreRecordedWhenTheWorkerResponds() {
		startSchedulerWithWorker(false);
		this.cell.submit("a", SimulatedCell.step(2, false));
		this.cell.time.runFor(300);
		assertThat(valuesOf(Metric.START_LATENCY)).hasSize(2).allMatch((millis) -> millis >= 1 && millis <= 5);
		assertThat(valuesOf(Metric.ACKNOWLEDGEMENT_LATENCY)).isEmpty();
	}

	@Test
	void ofAnAcknowledgementAreRecordedWhenTheTerminationsAreDurable() {
		startSchedulerWithWorker(false);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(300);
		this.cell.table.setDown(true);
		this.cell.time.runFor(1000);
		assertThat(valuesOf(Metric.ACKNOWLEDGEMENT_LATENCY)).isEmpty();
		this.cell.table.setDown(false);
		this.cell.time.runFor(2000);
		assertThat(valuesOf(Metric.ACKNOWLEDGEMENT_LATENCY)).singleElement()
			.satisfies((millis) -> assertThat(millis).isGreaterThan(600));
	}

	@Test
	void ofWasteAreRecordedForFailedRuns() {
		startSchedulerWithWorker(true);
		this.cell.submit("a", 2, SimulatedCell.step(1, false));
		this.cell.time.runFor(4000);
		long wastePerRun = SimulatedCell.RUN_MILLIS * SimulatedCell.TASK.processors();
		assertThat(valuesOf(Metric.WASTED_PROCESSOR_TIME)).hasSize(2)
			.allMatch((waste) -> waste >= wastePerRun && waste < wastePerRun * 11 / 10);
	}

	@Test
	void ofWasteAreNotRecordedForSuccessfulRuns() {
		startSchedulerWithWorker(false);
		this.cell.submit("a", SimulatedCell.step(4, true));
		this.cell.time.runFor(2000);
		assertThat(valuesOf(Metric.WASTED_PROCESSOR_TIME)).isEmpty();
	}

}
