package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.workload.RunDeclaration;
import org.monsoonrelay.model.workload.ServiceDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how work on a leaving worker is replaced, finished or cancelled.
 */
class LeavingWorkerTests {

	private static final ServiceDeclaration DESK = new ServiceDeclaration("desk", CellData.TEAM, 3, CellData.TASK,
			List.of(), List.of(), List.of());

	private static final RunDeclaration ROSTER = CellData.run("roster", 1, false);

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeScheduler scheduler = new FakeScheduler("first", new FakeTable(), this.workers, this.time);

	@BeforeEach
	void runOnOneWorker() {
		this.scheduler.updateHosts(CellData.hosts(1, CellData.worker("w1", "r1")));
		this.scheduler.racks().acquireOwnership("r1", 1);
		this.scheduler.runScheduledWork();
		this.scheduler.queues().update(CellData.activeState(1, List.of(DESK), List.of(ROSTER), Set.of()));
		this.scheduler.queues().acquireOwnership(CellData.TEAM, 1);
		this.scheduler.control().drain();
		this.scheduler.queues().activate(CellData.TEAM);
		this.scheduler.runSeconds(2);
		assertThat(this.workers.worker("w1").runningCount()).isEqualTo(4);
	}

	private long replicas() {
		return this.workers.running().stream().filter((attempt) -> attempt.job().name().equals("desk")).count();
	}

	@Test
	void servicesAreReplacedBeforeTheyAreStoppedAndBatchRunsToItsEnd() {
		this.scheduler.updateHosts(
				CellData.hosts(2, CellData.worker("w1", "r1", HostState.LEAVING), CellData.worker("w2", "r1")));
		for (int second = 0; second < 10; second++) {
			this.scheduler.runSecond();
			assertThat(replicas()).isGreaterThanOrEqualTo(3);
		}
		assertThat(replicas()).isEqualTo(3);
		assertThat(this.workers.worker("w2").runningCount()).isEqualTo(3);
		assertThat(this.workers.runs()).containsEntry("roster@1/0", 1);
		assertThat(this.workers.worker("w1").runningCount()).isOne();
	}

	@Test
	void servicesKeepRunningWhileNoOtherWorkerHasCapacity() {
		this.scheduler.updateHosts(CellData.hosts(2, CellData.worker("w1", "r1", HostState.LEAVING)));
		this.scheduler.runSeconds(20);
		assertThat(replicas()).isEqualTo(3);
	}

	@Test
	void servicesCancelledDuringReplacementAllStop() {
		this.scheduler.updateHosts(CellData.hosts(2, CellData.worker("w1", "r1", HostState.LEAVING)));
		this.scheduler.runSeconds(5);
		this.scheduler.queues().update(CellData.activeState(2, List.of(DESK), List.of(ROSTER), Set.of("desk@service")));
		this.scheduler.runSeconds(8);
		assertThat(replicas()).isZero();
	}

}
