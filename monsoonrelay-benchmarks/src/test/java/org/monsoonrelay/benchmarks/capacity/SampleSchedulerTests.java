package org.monsoonrelay.benchmarks.capacity;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SampleSchedulerTests {

	private static final int RUN_MILLIS = 60_000;

	@Test
	void runsEveryTaskOfTheTextOnItsWorkers() {
		String text = SampleCell.text(SampleCell.team(0), 5, 4, false, RUN_MILLIS);
		SampleScheduler scheduler = new SampleScheduler(16, SampleCell.inForce(text));

		scheduler.tick();
		scheduler.heartbeat();
		scheduler.tick();
		scheduler.workers().finishAll();
		scheduler.heartbeat();
		scheduler.tick();

		assertThat(scheduler.queues().satisfiedDependencies()).hasSize(5);
	}

}
