package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.logic.rack.WorkerAgents;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.RunDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a failure domain that is partitioned from the table and from the other failure
 * domains until the partition heals.
 */
class PartitionedDomainTests {

	private static final HostList HOSTS = CellData.hosts(1, CellData.worker("cut", "r1"),
			CellData.worker("outside", "r2"));

	// One task fits on each worker.
	private static final ActiveControlState FULL_WORKERS = CellData.activeState(1, new RunDeclaration("wages", "1",
			CellData.TEAM, 2, CellData.WORKER, 60_000, true, false, List.of(), List.of()));

	private static final Map<TaskState, Integer> ONE_FINISHED_AND_ONE_IN_DOUBT = Map.of(TaskState.FINISHED, 1,
			TaskState.IN_DOUBT, 1);

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final FakeTable table = new FakeTable();

	private final FakeWorkers workers = new FakeWorkers();

	private boolean partitioned;

	private final TableService insideTable = new TableService() {

		@Override
		public CompletableFuture<Optional<Row>> read(String key) {
			return isPartitioned() ? unreachable() : PartitionedDomainTests.this.table.read(key);
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return isPartitioned() ? unreachable() : PartitionedDomainTests.this.table.scan(prefix, after, limit);
		}

		@Override
		public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
			return isPartitioned() ? unreachable() : PartitionedDomainTests.this.table.commit(writes);
		}

	};

	private final WorkerAgents outsideWorkerAgents = (host, command) -> (isPartitioned() && host.name().equals("cut"))
			? unreachable() : this.workers.send(host, command);

	private final WorkerAgents insideWorkerAgents = (host, command) -> (isPartitioned() && host.name().equals("far"))
			? unreachable() : this.workers.send(host, command);

	private final FakeScheduler insideScheduler = new FakeScheduler("inside", this.insideTable, this.insideWorkerAgents,
			this.time);

	private final FakeScheduler outsideScheduler = new FakeScheduler("outside", this.table, this.outsideWorkerAgents,
			this.time);

	private boolean isPartitioned() {
		return this.partitioned;
	}

	private static <T> CompletableFuture<T> unreachable() {
		return CompletableFuture.failedFuture(new PlatformException("unreachable across the partition", false, null));
	}

	private void takeOver(FakeScheduler scheduler, long epoch, String... racks) {
		takeOver(scheduler, epoch, HOSTS,
				CellData.activeState(1, CellData.run("wages", 2, true), CellData.run("roster", 2, false)), racks);
	}

	private void takeOver(FakeScheduler scheduler, long epoch, HostList hosts, ActiveControlState state,
			String... racks) {
		scheduler.updateHosts(hosts);
		List.of(racks).forEach((rack) -> scheduler.racks().acquireOwnership(rack, epoch));
		scheduler.runScheduledWork();
		scheduler.queues().update(state);
		scheduler.queues().acquireOwnership(CellData.TEAM, epoch);
		scheduler.control().drain();
		scheduler.queues().activate(CellData.TEAM);
	}

	private Map<String, Map<TaskState, Integer>> counts(FakeScheduler scheduler) {
		return scheduler.queues()
			.jobStatuses()
			.stream()
			.collect(Collectors.toMap((status) -> status.id().name(), JobStatus::counts));
	}

	@Test
	void keepsServingItsWorkersAndRunsNoRunOnceTaskTwiceAfterThePartitionHeals() {
		takeOver(this.insideScheduler, 1, "r1");
		this.insideScheduler.runSeconds(2);
		assertThat(this.workers.worker("cut").runningCount()).isEqualTo(4);
		this.partitioned = true;
		takeOver(this.outsideScheduler, 2, "r1", "r2");
		this.outsideScheduler.runSeconds(10);
		assertThat(counts(this.outsideScheduler).get("wages")).containsOnlyKeys(TaskState.IN_DOUBT);
		this.insideScheduler.runSeconds(2);
		assertThat(this.workers.worker("cut").runningCount()).isEqualTo(4);
		assertThat(counts(this.insideScheduler).get("wages")).containsOnlyKeys(TaskState.RUNNING);
		this.workers.finishAll();
		this.insideScheduler.runSeconds(2);
		this.partitioned = false;
		this.outsideScheduler.runSeconds(4);
		this.insideScheduler.runSeconds(4);
		this.outsideScheduler.runSeconds(4);
		assertThat(counts(this.outsideScheduler).get("wages")).containsOnlyKeys(TaskState.FINISHED);
		assertThat(counts(this.outsideScheduler).get("roster")).containsOnlyKeys(TaskState.FINISHED);
		assertThat(this.workers.runs()).containsEntry("wages@1/0", 1).containsEntry("wages@1/1", 1);
		assertThat(this.workers.running()).isEmpty();
		assertThat(this.insideScheduler.racks().summaries()).isEmpty();
	}

	@Test
	void startsNoRunOnceTaskAgainThatItsSuccessorHasFinishedOnTheOtherHalfOfARack() {
		HostList halves = CellData.hosts(1, CellData.worker("cut", "r1"), CellData.worker("far", "r1"));
		takeOver(this.insideScheduler, 1, halves, FULL_WORKERS, "r1");
		this.insideScheduler.runSeconds(2);
		assertThat(this.workers.worker("far").runningCount()).isOne();
		this.partitioned = true;
		takeOver(this.outsideScheduler, 2, halves, FULL_WORKERS, "r1");
		this.outsideScheduler.runSeconds(4);
		this.workers.worker("far").endAll(AttemptPhase.FINISHED);
		this.outsideScheduler.runSeconds(3);
		this.workers.worker("cut").endAll(AttemptPhase.FINISHED);
		this.insideScheduler.runSeconds(60);
		assertThat(counts(this.outsideScheduler).get("wages")).isEqualTo(ONE_FINISHED_AND_ONE_IN_DOUBT);
		assertThat(counts(this.insideScheduler).get("wages")).isEqualTo(ONE_FINISHED_AND_ONE_IN_DOUBT);
		this.partitioned = false;
		this.insideScheduler.runSeconds(4);
		this.outsideScheduler.runSeconds(4);
		assertThat(counts(this.outsideScheduler).get("wages")).isEqualTo(Map.of(TaskState.FINISHED, 2));
		assertThat(this.workers.runs()).isEqualTo(Map.of("wages@1/0", 1, "wages@1/1", 1));
	}

}
