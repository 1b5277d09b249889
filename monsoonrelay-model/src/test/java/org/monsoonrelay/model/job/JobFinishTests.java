package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

class JobFinishTests {

	private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");

	private final Workload roster = new Workload(new JobId("roster", "r1"), WorkloadKind.BATCH, "salons", 2,
			new Resources(1, 1, 0), 1, true, false, List.of(), List.of());

	private final Job job = new Job(this.roster, JobRecord.NONE, 1, START);

	@Test
	void isRecordedOnceWhenTheLastTaskFinishesAndSurvivesAChangeOfOwner() {
		finish(0, START.plusSeconds(1));
		assertThat(this.job.finishedAt()).isEmpty();
		finish(1, START.plusSeconds(2));
		this.job.recordFinish(START.plusSeconds(3));
		Job reloaded = new Job(this.roster, this.job.toRecord("w", 1), 2, START.plusSeconds(9));
		reloaded.recordFinish(START.plusSeconds(9));

		assertThat(reloaded.finishedAt()).contains(START.plusSeconds(2));
	}

	@Test
	void isNeverRecordedForACancelledJob() {
		finish(0, START.plusSeconds(1));
		this.job.cancel();
		this.job.recordFinish(START.plusSeconds(2));

		assertThat(this.job.finishedAt()).isEmpty();
	}

	private void finish(int task, Instant now) {
		this.job.markFinished(this.job.openAttempt(task));
		this.job.recordFinish(now);
	}

}
