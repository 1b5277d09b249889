package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

import static org.assertj.core.api.Assertions.assertThat;

class JobRestartTests {

	private static Workload workload(WorkloadKind kind) {
		return new Workload(new JobId("desk", "service"), kind, "salons", 2, new Resources(1, 1, 0), 0, false, false,
				List.of(), List.of());
	}

	private static Job stopped(WorkloadKind kind) {
		Job job = new Job(workload(kind), JobRecord.NONE, 1, Instant.EPOCH);
		job.markStarting(job.openAttempt(0));
		job.cancel();
		return job;
	}

	@Test
	void stoppedServiceRestartsWithHigherAttemptsAfterALaterConfiguration() {
		Job service = stopped(WorkloadKind.SERVICE);
		long before = service.tasks().get(0).attempt();
		service.updateDeclaration(workload(WorkloadKind.SERVICE));

		assertThat(service.placeableTasks(Instant.EPOCH, Integer.MAX_VALUE)).containsExactly(0, 1);
		assertThat(service.openAttempt(0).attempt()).isGreaterThan(before);
	}

	@Test
	void stoppedServiceRestartsUnderANewOwner() {
		JobRecord record = stopped(WorkloadKind.SERVICE).toRecord("w", 0);

		assertThat(new Job(workload(WorkloadKind.SERVICE), record, 2, Instant.EPOCH).placeableTasks(Instant.EPOCH,
				Integer.MAX_VALUE))
			.containsExactly(0, 1);
	}

	@Test
	void stoppedBatchRunStaysCancelled() {
		Job batch = stopped(WorkloadKind.BATCH);
		batch.updateDeclaration(workload(WorkloadKind.BATCH));

		assertThat(batch.isFinal()).isTrue();
	}

}
