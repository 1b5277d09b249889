package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.RunDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a queue owner recovers from failures of rack owners, workers, messages or the
 * table.
 */
class QueueRecoveryTests {

	private static final int WORKERS_PER_RACK = 8;

	private final ManualTime time = new ManualTime(Instant.parse("2026-06-01T00:00:00Z"));

	private final FakeTable table = new FakeTable();

	private final FakeWorkers workers = new FakeWorkers();

	private FakeScheduler newScheduler(long epoch, int hosts) {
		FakeScheduler created = new FakeScheduler("scheduler-" + epoch, this.table, this.workers, this.time);
		created.updateHosts(CellData.hosts(5, hosts(hosts)));
		for (int rack = 0; rack * WORKERS_PER_RACK < hosts; rack++) {
			created.racks().acquireOwnership("r" + rack, epoch);
		}
		created.runScheduledWork();
		return created;
	}

	private static Host[] hosts(int count) {
		List<Host> hosts = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			hosts.add(CellData.worker("w" + index, "r" + index / WORKERS_PER_RACK));
		}
		return hosts.toArray(new Host[0]);
	}

	private static void declare(FakeScheduler scheduler, long epoch, RunDeclaration... runs) {
		scheduler.queues().update(CellData.activeState(1, runs));
		scheduler.queues().acquireOwnership(CellData.TEAM, epoch);
		scheduler.control().drain();
		scheduler.queues().activate(CellData.TEAM);
	}

	private static Map<TaskState, Integer> counts(FakeScheduler scheduler) {
		return scheduler.queues()
			.jobStatuses()
			.stream()
			.flatMap((status) -> status.counts().entrySet().stream())
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum));
	}

	@Nested
	class ARackOwnerFailure {

		@Test
		void duringAWorkerFailureLosesNoRepeatableTask() {
			FakeScheduler queues = newScheduler(1, 2);
			declare(queues, 1, CellData.run("roster", 1, false));
			queues.runSeconds(2);
			String busy = (QueueRecoveryTests.this.workers.worker("w0").runningCount() > 0) ? "w0" : "w1";
			QueueRecoveryTests.this.workers.worker(busy).setUnreachable(true);
			queues.useRacksOf(newScheduler(2, 2));
			queues.runSeconds(8);
			assertThat(counts(queues)).containsOnlyKeys(TaskState.RUNNING);
			assertThat(QueueRecoveryTests.this.workers.runs()).containsEntry("roster@1/0", 2);
		}

		@Test
		void duringTheRemovalOfAWorkerLosesNoTask() {
			FakeScheduler queues = newScheduler(1, 2);
			declare(queues, 1, CellData.run("wages", 1, true), CellData.run("roster", 1, false));
			queues.runSeconds(2);
			boolean first = QueueRecoveryTests.this.workers.worker("w0").runningCount() > 0;
			QueueRecoveryTests.this.workers.worker(first ? "w0" : "w1").restart();
			QueueRecoveryTests.this.workers.worker(first ? "w0" : "w1").setUnreachable(true);
			FakeScheduler successor = newScheduler(2, 2);
			successor.updateHosts(CellData.hosts(6, hosts(2)[first ? 1 : 0]));
			queues.updateHosts(CellData.hosts(6, hosts(2)[first ? 1 : 0]));
			queues.useRacksOf(successor);
			queues.runSeconds(8);
			assertThat(counts(queues)).containsOnlyKeys(TaskState.RUNNING);
			assertThat(QueueRecoveryTests.this.workers.running()).hasSize(2);
			assertThat(QueueRecoveryTests.this.workers.maximumConcurrentRuns()).isOne();
		}

		@Test
		void beforeAStartIsForwardedLosesNoTask() {
			FakeScheduler queues = newScheduler(1, 2);
			QueueRecoveryTests.this.workers.worker("w0").setUnreachable(true);
			QueueRecoveryTests.this.workers.worker("w1").setUnreachable(true);
			declare(queues, 1, CellData.run("wages", 1, true), CellData.run("roster", 1, false));
			queues.tick();
			queues.tick();
			QueueRecoveryTests.this.workers.worker("w0").setUnreachable(false);
			QueueRecoveryTests.this.workers.worker("w1").setUnreachable(false);
			queues.useRacksOf(newScheduler(2, 2));
			queues.runSeconds(8);
			assertThat(counts(queues)).containsOnlyKeys(TaskState.RUNNING);
			assertThat(QueueRecoveryTests.this.workers.maximumConcurrentRuns()).isOne();
		}

	}

	@Nested
	class ALostStopRequest {

		@Test
		void isRetriedUntilTheTaskHasEnded() {
			FakeScheduler scheduler = newScheduler(1, 2);
			declare(scheduler, 1, CellData.run("roster", 3, false));
			scheduler.runSeconds(2);
			scheduler.setStopsLost(true);
			scheduler.queues()
				.update(CellData.activeState(2, List.of(), List.of(CellData.run("roster", 3, false)),
						Set.of("roster@1")));
			scheduler.runSeconds(2);
			assertThat(QueueRecoveryTests.this.workers.running()).hasSize(3);
			scheduler.setStopsLost(false);
			scheduler.runSeconds(12);
			assertThat(QueueRecoveryTests.this.workers.running()).isEmpty();
		}

	}

	@Nested
	class ABulkCancellation {

		private static final int JOBS = 10_000;

		private final List<RunDeclaration> runs = CellData.runs(JOBS, false);

		private final Set<String> all = this.runs.stream().map((run) -> run.name() + "@1").collect(Collectors.toSet());

		@Test
		void writesNoRowsAndRestartsNoCancelledTask() {
			FakeScheduler scheduler = newScheduler(1, 200);
			declare(scheduler, 1, this.runs.toArray(new RunDeclaration[0]));
			scheduler.runSeconds(3);
			assertThat(QueueRecoveryTests.this.workers.running()).hasSize(1600);
			int writesBefore = QueueRecoveryTests.this.table.rowsWritten();
			int commandsBefore = QueueRecoveryTests.this.workers.commands();
			scheduler.queues().update(CellData.activeState(2, List.of(), this.runs, this.all));
			scheduler.tick();
			assertThat(QueueRecoveryTests.this.workers.commands() - commandsBefore).isEqualTo(200);
			assertThat(QueueRecoveryTests.this.workers.running()).isEmpty();
			scheduler.queues().update(CellData.activeState(3, List.of(), this.runs, this.all));
			scheduler.runSeconds(3);
			FakeScheduler successor = newScheduler(2, 200);
			successor.queues().update(CellData.activeState(3, List.of(), this.runs, this.all));
			successor.queues().acquireOwnership(CellData.TEAM, 2);
			successor.control().drain();
			successor.queues().activate(CellData.TEAM);
			successor.runSeconds(3);
			assertThat(counts(successor)).containsOnlyKeys(TaskState.CANCELLED).containsValue(JOBS);
			assertThat(QueueRecoveryTests.this.workers.running()).isEmpty();
			assertThat(QueueRecoveryTests.this.workers.runs()).hasSize(1600);
			assertThat(QueueRecoveryTests.this.table.rowsWritten() - writesBefore).isZero();
		}

	}

	@Nested
	class ATableOutage {

		@Test
		void stopsNoRepeatableWorkAndDrainsTheBacklogWithinTheWriteBudget() {
			FakeScheduler scheduler = newScheduler(1, 200);
			List<RunDeclaration> runs = new ArrayList<>(CellData.runs(2000, false));
			runs.add(CellData.run("wages", 1, true));
			declare(scheduler, 1, runs.toArray(new RunDeclaration[0]));
			QueueRecoveryTests.this.table.setDown(true);
			scheduler.runSeconds(5);
			QueueRecoveryTests.this.workers.finishAll();
			scheduler.runSeconds(5);
			QueueRecoveryTests.this.workers.finishAll();
			scheduler.runSeconds(20);
			assertThat(counts(scheduler)).containsEntry(TaskState.FINISHED, 2000);
			assertThat(scheduler.queues()
				.jobStatuses()
				.stream()
				.filter((status) -> status.id().name().equals("wages"))
				.map(JobStatus::waitReason)).containsExactly(WaitReason.PLATFORM_UNAVAILABLE);
			QueueRecoveryTests.this.table.setDown(false);
			for (int second = 0; second < 8; second++) {
				int before = QueueRecoveryTests.this.table.rowsWritten();
				scheduler.runSecond();
				assertThat(QueueRecoveryTests.this.table.rowsWritten() - before).isLessThanOrEqualTo(300);
			}
			QueueRecoveryTests.this.workers.finishAll();
			scheduler.runSeconds(3);
			assertThat(counts(scheduler)).containsOnlyKeys(TaskState.FINISHED);
			assertThat(QueueRecoveryTests.this.table.rows("jobs/")).hasSize(2001);
			assertThat(QueueRecoveryTests.this.workers.runs().values()).containsOnly(1);
		}

		@Test
		void thatBlocksLoadingOneJobDelaysNoOther() {
			FakeScheduler scheduler = newScheduler(1, 2);
			declare(scheduler, 1, CellData.run("roster", 1, false));
			scheduler.runSeconds(2);
			QueueRecoveryTests.this.table.setDown(true);
			scheduler.queues()
				.update(CellData.activeState(2, CellData.run("roster", 1, false), CellData.run("points", 1, false),
						CellData.run("wages", 1, true)));
			QueueRecoveryTests.this.workers.finishAll();
			scheduler.runSeconds(3);
			assertThat(counts(scheduler)).containsEntry(TaskState.FINISHED, 1).containsEntry(TaskState.RUNNING, 1);
			assertThat(QueueRecoveryTests.this.workers.runs()).containsOnlyKeys("roster@1/0", "points@1/0");
		}

	}

}
