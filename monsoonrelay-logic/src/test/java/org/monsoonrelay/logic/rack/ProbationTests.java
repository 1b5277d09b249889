package org.monsoonrelay.logic.rack;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.RunDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that workers which fail every attempt are put on probation, and that jobs which
 * fail on every worker put no worker on probation.
 */
class ProbationTests {

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeScheduler scheduler = new FakeScheduler("first", new FakeTable(), this.workers, this.time);

	private void declare(RunDeclaration... runs) {
		this.scheduler.updateHosts(CellData.hosts(1, CellData.worker("w1", "r1"), CellData.worker("w2", "r1"),
				CellData.worker("w3", "r1"), CellData.worker("w4", "r1")));
		this.scheduler.racks().acquireOwnership("r1", 1);
		this.scheduler.runScheduledWork();
		this.scheduler.queues().update(CellData.activeState(1, runs));
		this.scheduler.queues().acquireOwnership(CellData.TEAM, 1);
		this.scheduler.control().drain();
		this.scheduler.queues().activate(CellData.TEAM);
	}

	private void finishAttemptsFor(int seconds) {
		for (int second = 0; second < seconds; second++) {
			this.scheduler.runSecond();
			this.workers.finishAll();
		}
	}

	private Map<TaskState, Integer> counts(String job) {
		return this.scheduler.queues()
			.jobStatuses()
			.stream()
			.filter((status) -> status.id().name().equals(job))
			.map(JobStatus::counts)
			.findFirst()
			.orElseThrow();
	}

	@Test
	void aWorkerThatFailsEveryAttemptReceivesOnlyProbes() {
		this.workers.worker("w1").setFailsAll(true);
		declare(CellData.runs(300, false).toArray(new RunDeclaration[0]));
		finishAttemptsFor(60);
		assertThat(counts("run-299")).containsOnlyKeys(TaskState.FINISHED);
		assertThat(this.workers.runs()).hasSize(300);
		assertThat(this.workers.worker("w1").failures()).isLessThanOrEqualTo(20);
	}

	@Test
	void aRecoveredWorkerLeavesProbationAfterASuccessfulProbe() {
		this.workers.worker("w1").setFailsAll(true);
		declare(CellData.run("roster", 60, false), CellData.run("points", 60, false),
				CellData.run("later", 600, false));
		finishAttemptsFor(5);
		int failures = this.workers.worker("w1").failures();
		this.workers.worker("w1").setFailsAll(false);
		finishAttemptsFor(25);
		this.scheduler.runSecond();
		assertThat(this.workers.worker("w1").failures()).isEqualTo(failures);
		assertThat(this.scheduler.racks().summaries().get(0).workers()).isEqualTo(4);
	}

	@Test
	void jobsThatFailEverywherePutNoHealthyWorkerOnProbation() {
		this.workers.failJobs("broken-.*");
		declare(CellData.run("broken-a", 6, false), CellData.run("broken-b", 6, false),
				CellData.run("roster", 20, false));
		finishAttemptsFor(30);
		assertThat(counts("broken-a")).containsOnlyKeys(TaskState.FAILED);
		assertThat(counts("roster")).containsOnlyKeys(TaskState.FINISHED);
		List<Integer> usable = this.scheduler.racks().summaries().stream().map((rack) -> rack.workers()).toList();
		assertThat(usable).containsExactly(4);
	}

}
