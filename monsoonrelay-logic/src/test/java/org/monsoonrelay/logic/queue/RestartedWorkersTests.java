package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.job.TaskState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tasks of workers that restart: a task that meets it once is started again at once, one
 * that meets it again and again after growing delays.
 */
class RestartedWorkersTests {

	private static final HostList HOSTS = CellData.hosts(5, CellData.worker("w1", "r1"), CellData.worker("w2", "r1"));

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeScheduler scheduler = new FakeScheduler("first", new FakeTable(), this.workers,
			new ManualTime(Instant.parse("2026-06-01T00:00:00Z")));

	RestartedWorkersTests() {
		this.scheduler.updateHosts(HOSTS);
		this.scheduler.racks().acquireOwnership("r1", 1);
		this.scheduler.runScheduledWork();
		this.scheduler.queues().update(CellData.activeState(1, CellData.run("wages", 1, false)));
		this.scheduler.queues().acquireOwnership(CellData.TEAM, 1);
		this.scheduler.control().drain();
		this.scheduler.queues().activate(CellData.TEAM);
	}

	// Restarts the worker that runs the task, as if the task had crashed it.
	private boolean crashBusyWorker() {
		for (String name : List.of("w1", "w2")) {
			FakeWorkers.FakeWorker worker = this.workers.worker(name);
			if (worker.runningCount() > 0) {
				worker.restart();
				return true;
			}
		}
		return false;
	}

	@Test
	void aTaskThatCrashesItsWorkersIsStartedAfterGrowingDelays() {
		int crashes = 0;
		for (int second = 0; second < 120; second++) {
			this.scheduler.runSeconds(1);
			crashes += crashBusyWorker() ? 1 : 0;
		}
		// Delays of 0.5 s to 32 s take 63.5 s, the next two another 64 s.
		assertThat(crashes).isBetween(3, 11);
	}

	@Test
	void aTaskWhoseWorkerRestartedOnceIsStartedAgainAtOnce() {
		this.scheduler.runSeconds(2);
		assertThat(crashBusyWorker()).isTrue();
		this.scheduler.runSeconds(2);
		assertThat(this.scheduler.queues().jobStatuses().get(0).counts()).containsOnlyKeys(TaskState.RUNNING);
	}

}
