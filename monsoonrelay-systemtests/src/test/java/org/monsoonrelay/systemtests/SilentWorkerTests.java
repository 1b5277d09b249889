package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.standin.TaskCounts;
import org.monsoonrelay.standin.WorkerFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers' agents fall silent while their tasks run on. The service's replicas may be
 * placed again then, the run's tasks may not.
 */
class SilentWorkerTests {

	private static final WorkerFault SILENT = new WorkerFault(true, false, 0);

	/** Longer than a worker's lease, so that tasks run on after it has lapsed. */
	private static final int RUN_MILLIS = 12_000;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path folder;

	@Test
	void aLapsedLeaseAloneDoesNotHaveATaskThatMustRunOncePlacedAgain() {
		String roster = TestCell.run("roster", "salons", TestCell.WAVE, true, RUN_MILLIS);
		try (TestCell cell = TestCell.start(this.folder, 5, roster)) {
			cell.awaitStarted(TestCell.WAVE);
			Set<String> workers = workersOf(cell, "roster");
			assertThat(workers).isNotEmpty();

			workers.forEach((worker) -> cell.processes().faults().worker(worker, SILENT));
			cell.awaitWaiting("roster", WaitReason.WORKER_SILENT);
			workers.forEach((worker) -> cell.processes().faults().worker(worker, WorkerFault.NONE));

			cell.awaitFinished("roster", TestCell.WAVE);
			TaskCounts counts = cell.processes().taskCounts();
			assertThat(counts.overlappingOf(new JobId("roster", "1"))).as("tasks that ran in two places").isZero();
			assertThat(counts.finishedTwice()).as("tasks that ended well twice").isZero();
			assertThat(counts.overCommitted()).as("starts without room").isZero();
		}
	}

	private static Set<String> workersOf(TestCell cell, String run) {
		return cell.processes()
			.status()
			.jobs()
			.stream()
			.filter((job) -> job.id().name().equals(run))
			.flatMap((job) -> job.tasks().stream())
			.map(TaskRecord::worker)
			.filter((worker) -> !worker.isEmpty())
			.collect(Collectors.toSet());
	}

}
