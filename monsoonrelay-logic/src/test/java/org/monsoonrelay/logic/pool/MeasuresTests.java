package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Measure;

import static org.assertj.core.api.Assertions.assertThat;

class MeasuresTests {

	private final SimulatedCell cell = new SimulatedCell();

	private List<Long> of(Measure measure) {
		return this.cell.measures.getOrDefault(measure, List.of());
	}

	private void begin(boolean isFailing) {
		this.cell.workers.add("w0", SimulatedCell.CAPACITY).fails(isFailing);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
	}

	@Test
	void ofAStartAreTakenOnceItsWorkerHasAnswered() {
		begin(false);
		this.cell.submit("a", SimulatedCell.step(2, false));
		this.cell.time.runFor(300);
		assertThat(of(Measure.START)).hasSize(2).allMatch((millis) -> millis >= 1 && millis <= 5);
		assertThat(of(Measure.ACKNOWLEDGEMENT)).isEmpty();
	}

	@Test
	void ofAnAcknowledgementAreTakenOnceTheEndsAreDurable() {
		begin(false);
		this.cell.submit("a", SimulatedCell.step(1, false));
		this.cell.time.runFor(300);
		this.cell.table.setDown(true);
		this.cell.time.runFor(1000);
		assertThat(of(Measure.ACKNOWLEDGEMENT)).isEmpty();
		this.cell.table.setDown(false);
		this.cell.time.runFor(2000);
		assertThat(of(Measure.ACKNOWLEDGEMENT)).singleElement()
			.satisfies((millis) -> assertThat(millis).isGreaterThan(600));
	}

	@Test
	void ofWasteAreTakenOfRunsThatEndOtherThanWell() {
		begin(true);
		this.cell.submit("a", 2, SimulatedCell.step(1, false));
		this.cell.time.runFor(4000);
		long one = SimulatedCell.RUN_MILLIS * SimulatedCell.TASK.processors();
		assertThat(of(Measure.WASTE)).hasSize(2).allMatch((waste) -> waste >= one && waste < one * 11 / 10);
	}

	@Test
	void ofWasteAreNotTakenOfRunsThatEndWell() {
		begin(false);
		this.cell.submit("a", SimulatedCell.step(4, true));
		this.cell.time.runFor(2000);
		assertThat(of(Measure.WASTE)).isEmpty();
	}

}
