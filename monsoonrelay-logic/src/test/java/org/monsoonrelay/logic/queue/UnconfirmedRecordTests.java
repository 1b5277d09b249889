package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.model.job.TaskState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a queue owner whose loaded record the former owner can still change, because
 * it has not been written since. Runs are counted at the workers.
 */
class UnconfirmedRecordTests {

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final FakeTable table = new FakeTable();

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeScheduler former = new FakeScheduler("former", this.table, this.workers, this.time);

	private final FakeScheduler successor = new FakeScheduler("successor", this.table, this.workers, this.time);

	@BeforeEach
	void startATaskWhileTheSuccessorReservesRoomForIt() {
		List.of(this.former, this.successor)
			.forEach((scheduler) -> scheduler
				.updateHosts(CellData.hosts(1, CellData.worker("w1", "r1"), CellData.worker("w2", "r1"))));
		this.former.racks().acquireOwnership("r1", 1);
		this.former.runScheduledWork();
		this.successor.useRacksOf(this.former);
		own(this.former, 1);
		own(this.successor, 2);
		this.successor.setReserveAnswersHeld(true);
		this.successor.tick();
		this.former.tick();
		this.former.queues().tick();
		this.former.control().drain();
		this.former.racks().sendUrgentCommands();
		this.former.control().drain();
		assertThat(this.workers.running()).hasSize(1);
	}

	private static void own(FakeScheduler scheduler, long epoch) {
		scheduler.queues().update(CellData.activeState(1, CellData.run("wages", 1, true)));
		scheduler.queues().acquireOwnership(CellData.TEAM, epoch);
		scheduler.control().drain();
		scheduler.queues().activate(CellData.TEAM);
	}

	private void assertOneRun(TaskState state) {
		this.successor.tick();
		this.successor.setReserveAnswersHeld(false);
		this.successor.runSeconds(10);
		assertThat(this.workers.runs()).isEqualTo(Map.of("wages@1/0", 1));
		assertThat(this.successor.queues().jobStatuses().get(0).counts()).containsOnlyKeys(state);
	}

	@Test
	void stopsNoAttemptThatTheFormerOwnerHasRecordedSinceTheLoad() {
		assertOneRun(TaskState.RUNNING);
	}

	@Test
	void acknowledgesNoEndOfAnAttemptThatTheFormerOwnerHasRecordedSinceTheLoad() {
		this.workers.finishAll();
		this.former.racks().sendHeartbeats();
		this.former.control().drain();
		assertOneRun(TaskState.FINISHED);
	}

}
