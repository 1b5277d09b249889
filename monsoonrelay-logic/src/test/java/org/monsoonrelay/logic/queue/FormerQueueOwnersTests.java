package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.RunDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a queue owner that still owns the racks and does not know that another
 * scheduler has taken its queue over: events of the racks reach it first. Runs are
 * counted at the workers.
 */
class FormerQueueOwnersTests {

	private static final RunDeclaration WAGES = CellData.run("wages", 1, true);

	// One task fits on each worker.
	private static final RunDeclaration PAIR = new RunDeclaration("pair", "1", CellData.TEAM, 2,
			new Resources(5, 1024, 0), 60_000, true, false, List.of(), List.of());

	private static final RunDeclaration POSTING = CellData.run("posting", 1, true);

	private static final ActiveControlState FIRST_TEXT = CellData.activeState(1, WAGES, PAIR);

	private static final ActiveControlState NEXT_TEXT = CellData.activeState(2, WAGES, PAIR, POSTING);

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final FakeTable table = new FakeTable();

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeScheduler former = new FakeScheduler("former", this.table, this.workers, this.time);

	private final FakeScheduler successor = new FakeScheduler("successor", this.table, this.workers, this.time);

	@BeforeEach
	void takeTheQueueOver() {
		List.of(this.former, this.successor)
			.forEach((scheduler) -> scheduler
				.updateHosts(CellData.hosts(1, CellData.worker("w1", "r1"), CellData.worker("w2", "r1"))));
		this.former.racks().acquireOwnership("r1", 1);
		this.former.runScheduledWork();
		own(this.former, 1, FIRST_TEXT);
		this.former.runSeconds(2);
		this.successor.useRacksOf(this.former);
		own(this.successor, 2, FIRST_TEXT);
		this.successor.runSeconds(2);
		assertThat(counts("wages")).containsOnlyKeys(TaskState.RUNNING);
	}

	private static void own(FakeScheduler scheduler, long epoch, ActiveControlState text) {
		scheduler.queues().update(text);
		scheduler.queues().acquireOwnership(CellData.TEAM, epoch);
		scheduler.control().drain();
		scheduler.queues().activate(CellData.TEAM);
	}

	private Map<TaskState, Integer> counts(String job) {
		return this.successor.queues()
			.jobStatuses()
			.stream()
			.collect(Collectors.toMap((status) -> status.id().name(), JobStatus::counts))
			.get(job);
	}

	private void restartWorkers() {
		Set.of("w1", "w2").forEach((name) -> this.workers.worker(name).restart());
		this.successor.runSeconds(4);
		assertThat(counts("wages")).containsOnlyKeys(TaskState.RUNNING);
	}

	@Test
	void leaveTheEndOfAnAttemptOfTheirSuccessorToIt() {
		restartWorkers();
		this.workers.finishAll();
		this.former.runSeconds(3);
		this.successor.runSeconds(3);
		assertThat(counts("wages")).containsOnlyKeys(TaskState.FINISHED);
	}

	@Test
	void neitherStopNorAcknowledgeAnAttemptOfAJobThatTheyDoNotKnow() {
		this.successor.queues().update(NEXT_TEXT);
		this.successor.runSeconds(2);
		assertThat(counts("posting")).containsOnlyKeys(TaskState.RUNNING);
		this.workers.finishAll();
		this.former.runSeconds(3);
		this.successor.runSeconds(3);
		this.former.racks().acquireOwnership("r1", 2);
		this.successor.runSeconds(6);
		assertThat(this.workers.runs()).containsEntry("posting@1/0", 1);
		assertThat(counts("posting")).containsOnlyKeys(TaskState.FINISHED);
	}

	@Test
	void giveTheQueueUpOnceTheyHaveReadARecordOfTheirSuccessor() {
		this.workers.worker("w2").restart();
		this.successor.runSeconds(4);
		assertThat(counts("pair")).containsOnlyKeys(TaskState.RUNNING);
		this.workers.worker("w1").endAll(AttemptPhase.FINISHED);
		this.former.runSeconds(3);
		assertThat(this.former.queues().teams()).isEmpty();
		this.successor.runSeconds(3);
		assertThat(counts("pair")).isEqualTo(Map.of(TaskState.FINISHED, 1, TaskState.RUNNING, 1));
	}

	@Test
	void leaveNoSuccessorWaitingForAnEndThatTheyHaveStored() {
		this.workers.finishAll();
		this.former.runSeconds(3);
		this.successor.runSeconds(3);
		assertThat(counts("wages")).containsOnlyKeys(TaskState.FINISHED);
		assertThat(counts("pair")).containsOnlyKeys(TaskState.FINISHED);
		assertThat(this.workers.runs().values()).containsOnly(1);
	}

}
