package org.monsoonrelay.logic.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.worker.Worker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a run-once task never runs twice when workers, messages, the table or queue
 * owners fail. Runs are counted at the workers.
 */
class RunOnceTests {

	private static final Instant START = Instant.parse("2026-06-01T00:00:00Z");

	private static final HostList HOSTS = CellData.hosts(5, CellData.worker("w1", "r1"), CellData.worker("w2", "r1"));

	private final ManualTime time = new ManualTime(START);

	private final FakeTable table = new FakeTable();

	private final FakeWorkers workers = new FakeWorkers();

	private FakeScheduler scheduler = newScheduler("first", 1);

	private FakeScheduler newScheduler(String name, long epoch) {
		FakeScheduler created = new FakeScheduler(name, this.table, this.workers, this.time);
		created.updateHosts(HOSTS);
		created.racks().acquireOwnership("r1", epoch);
		return created;
	}

	@BeforeEach
	void receiveWorkerReports() {
		this.scheduler.runScheduledWork();
	}

	private void declare(FakeScheduler scheduler, int tasks, long epoch) {
		scheduler.queues().update(CellData.activeState(1, CellData.run("wages", tasks, true)));
		scheduler.queues().acquireOwnership(CellData.TEAM, epoch);
		scheduler.control().drain();
		scheduler.queues().activate(CellData.TEAM);
	}

	private Map<TaskState, Integer> counts(FakeScheduler scheduler) {
		return scheduler.queues().jobStatuses().get(0).counts();
	}

	private FakeWorkers.FakeWorker busyWorker() {
		return this.workers.worker((this.workers.worker("w1").runningCount() > 0) ? "w1" : "w2");
	}

	private void assertNoTaskRanTwice(int tasks) {
		assertThat(this.workers.runs().values()).hasSize(tasks).containsOnly(1);
	}

	private static int attemptCount(Worker worker) {
		return worker.attempts().size();
	}

	@Nested
	class AnUnresponsiveWorker {

		@BeforeEach
		void runOneTask() {
			declare(RunOnceTests.this.scheduler, 1, 1);
			RunOnceTests.this.scheduler.runSeconds(2);
			assertThat(counts(RunOnceTests.this.scheduler)).containsOnlyKeys(TaskState.RUNNING);
			busyWorker().setUnreachable(true);
		}

		@Test
		void keepsItsTaskInDoubtWithoutATimeLimit() {
			RunOnceTests.this.scheduler.runSeconds(600);
			assertThat(counts(RunOnceTests.this.scheduler)).containsOnlyKeys(TaskState.IN_DOUBT);
			assertThat(RunOnceTests.this.scheduler.queues().jobStatuses().get(0).waitReason())
				.isEqualTo(WaitReason.WORKER_SILENT);
			assertNoTaskRanTwice(1);
		}

		@Test
		void hasItsTaskConfirmedWhenItRespondsAgain() {
			FakeWorkers.FakeWorker busy = busyWorker();
			RunOnceTests.this.scheduler.runSeconds(10);
			busy.setUnreachable(false);
			RunOnceTests.this.scheduler.runSeconds(2);
			assertThat(counts(RunOnceTests.this.scheduler)).containsOnlyKeys(TaskState.RUNNING);
			RunOnceTests.this.workers.finishAll();
			RunOnceTests.this.scheduler.runSeconds(3);
			assertThat(counts(RunOnceTests.this.scheduler)).containsOnlyKeys(TaskState.FINISHED);
			assertNoTaskRanTwice(1);
		}

		@Test
		void releasesItsTaskWhenItsNewIncarnationReports() {
			FakeWorkers.FakeWorker busy = busyWorker();
			RunOnceTests.this.scheduler.runSeconds(10);
			busy.restart();
			busy.setUnreachable(false);
			RunOnceTests.this.scheduler.runSeconds(4);
			assertThat(counts(RunOnceTests.this.scheduler)).containsOnlyKeys(TaskState.RUNNING);
			assertThat(RunOnceTests.this.workers.maximumConcurrentRuns()).isOne();
		}

		@Test
		void releasesItsTaskWhenRemovedFromTheHostListUnderANewOwner() {
			FakeWorkers.FakeWorker busy = busyWorker();
			String other = (busy == RunOnceTests.this.workers.worker("w1")) ? "w2" : "w1";
			busy.restart();
			FakeScheduler successor = newScheduler("second", 2);
			successor.updateHosts(CellData.hosts(6, CellData.worker(other, "r1")));
			declare(successor, 1, 2);
			successor.runSeconds(4);
			assertThat(counts(successor)).containsOnlyKeys(TaskState.RUNNING);
			assertThat(RunOnceTests.this.workers.maximumConcurrentRuns()).isOne();
		}

		@Test
		void keepsItsTaskInDoubtUnderAHostListOlderThanTheRecord() {
			FakeScheduler successor = new FakeScheduler("second", RunOnceTests.this.table, RunOnceTests.this.workers,
					RunOnceTests.this.time);
			successor.racks().acquireOwnership("r1", 2);
			successor.updateHosts(CellData.hosts(4));
			declare(successor, 1, 2);
			successor.runSeconds(10);
			assertThat(counts(successor)).containsOnlyKeys(TaskState.IN_DOUBT);
		}

		@Test
		void keepsItsTaskInDoubtWhenMissingFromAHostListOlderThanTheRecordAndListedBefore() {
			String other = (busyWorker() == RunOnceTests.this.workers.worker("w1")) ? "w2" : "w1";
			FakeScheduler successor = new FakeScheduler("second", RunOnceTests.this.table, RunOnceTests.this.workers,
					RunOnceTests.this.time);
			successor.racks().acquireOwnership("r1", 2);
			successor.updateHosts(CellData.hosts(3, CellData.worker("w1", "r1"), CellData.worker("w2", "r1")));
			successor.updateHosts(CellData.hosts(4, CellData.worker(other, "r1")));
			declare(successor, 1, 2);
			successor.runSeconds(10);
			assertThat(RunOnceTests.this.workers.maximumConcurrentRuns()).isOne();
			assertThat(counts(successor)).containsOnlyKeys(TaskState.IN_DOUBT);
		}

	}

	@Nested
	class TheRecordWrittenBeforeTheStart {

		@Test
		void delaysTheStartWhileTheTableIsDown() {
			declare(RunOnceTests.this.scheduler, 3, 1);
			RunOnceTests.this.table.setDown(true);
			RunOnceTests.this.scheduler.runSeconds(30);
			assertThat(RunOnceTests.this.workers.runs()).isEmpty();
			RunOnceTests.this.table.setDown(false);
			RunOnceTests.this.scheduler.runSeconds(10);
			assertNoTaskRanTwice(3);
		}

		@Test
		void isReadBackWhenTheCommitReplyIsLost() {
			declare(RunOnceTests.this.scheduler, 3, 1);
			RunOnceTests.this.table.setAnswersLost(true);
			RunOnceTests.this.scheduler.runSeconds(1);
			RunOnceTests.this.table.setAnswersLost(false);
			RunOnceTests.this.scheduler.runSeconds(4);
			assertNoTaskRanTwice(3);
			assertThat(counts(RunOnceTests.this.scheduler)).containsEntry(TaskState.RUNNING, 3);
		}

		@Test
		void thatTakesEffectLateCausesNoSecondStart() {
			declare(RunOnceTests.this.scheduler, 1, 1);
			RunOnceTests.this.table.setCommitsLate(true);
			RunOnceTests.this.scheduler.tick();
			RunOnceTests.this.table.setCommitsLate(false);
			RunOnceTests.this.table.applyLateCommits();
			RunOnceTests.this.scheduler.runSeconds(20);
			assertThat(counts(RunOnceTests.this.scheduler)).containsOnlyKeys(TaskState.RUNNING);
			assertThat(RunOnceTests.this.workers.maximumConcurrentRuns()).isOne();
			assertThat(RunOnceTests.this.workers.running()).hasSize(1);
		}

		@Test
		void ofASchedulerKilledBeforeTheStartIsResolvedByItsSuccessor() {
			declare(RunOnceTests.this.scheduler, 2, 1);
			RunOnceTests.this.scheduler.queues().tick();
			RunOnceTests.this.scheduler.control().drain();
			RunOnceTests.this.scheduler.queues().tick();
			assertThat(RunOnceTests.this.table.rows("jobs/")).hasSize(1);
			assertThat(RunOnceTests.this.workers.runs()).isEmpty();
			RunOnceTests.this.scheduler.control().clear();
			FakeScheduler successor = newScheduler("second", 2);
			declare(successor, 2, 2);
			successor.runSeconds(6);
			assertThat(counts(successor)).containsEntry(TaskState.RUNNING, 2);
			assertNoTaskRanTwice(2);
		}

	}

	@Nested
	class TwoOwnersOfOneQueue {

		@ParameterizedTest
		@ValueSource(ints = { 0, 1, 2, 3 })
		void neverStartATaskTwice(int interleaving) {
			FakeScheduler second = newScheduler("second", 1);
			second.useRacksOf(RunOnceTests.this.scheduler);
			declare(RunOnceTests.this.scheduler, 4, 1);
			declare(second, 4, 2);
			for (int round = 0; round < 40; round++) {
				boolean firstLeads = ((round >> (interleaving & 1)) & 1) == (interleaving >> 1);
				(firstLeads ? RunOnceTests.this.scheduler : second).tick();
				(firstLeads ? second : RunOnceTests.this.scheduler).tick();
				RunOnceTests.this.time.advance(Duration.ofMillis(500));
				RunOnceTests.this.scheduler.runScheduledWork();
			}
			assertNoTaskRanTwice(4);
		}

		@Test
		void startNothingFromTheOnePausedDuringItsReservation() {
			declare(RunOnceTests.this.scheduler, 1, 1);
			RunOnceTests.this.scheduler.setReserveAnswersHeld(true);
			RunOnceTests.this.scheduler.tick();
			FakeScheduler successor = newScheduler("second", 2);
			declare(successor, 1, 2);
			successor.runSeconds(3);
			assertNoTaskRanTwice(1);
			RunOnceTests.this.scheduler.setReserveAnswersHeld(false);
			RunOnceTests.this.scheduler.runSeconds(20);
			assertNoTaskRanTwice(1);
		}

		@Test
		void ignoreRepliesToRequestsFromAnEarlierOwnership() {
			declare(RunOnceTests.this.scheduler, 1, 1);
			RunOnceTests.this.scheduler.setReserveAnswersHeld(true);
			RunOnceTests.this.scheduler.tick();
			RunOnceTests.this.scheduler.queues().releaseOwnership(CellData.TEAM);
			declare(RunOnceTests.this.scheduler, 1, 3);
			RunOnceTests.this.scheduler.setReserveAnswersHeld(false);
			RunOnceTests.this.scheduler.runSeconds(20);
			assertNoTaskRanTwice(1);
			int granted = RunOnceTests.this.scheduler.racks()
				.workers()
				.stream()
				.mapToInt(RunOnceTests::attemptCount)
				.sum();
			assertThat(granted).isOne();
		}

	}

}
