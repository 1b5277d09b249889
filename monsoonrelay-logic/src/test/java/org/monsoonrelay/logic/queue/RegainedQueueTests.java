package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.CellData;
import org.monsoonrelay.logic.fakes.FakeScheduler;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.FakeWorkers;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.RunDeclaration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a scheduler that owns a queue again while calls from its former ownership are
 * in flight. Runs are counted at the workers.
 */
class RegainedQueueTests {

	private static final String JOB_ROW = TableKeys.job(new JobId("wages", "1"));

	private final ManualTime time = new ManualTime(Instant.EPOCH);

	private final FakeTable rows = new FakeTable();

	private final HeldAnswers table = new HeldAnswers();

	private final FakeWorkers workers = new FakeWorkers();

	private final FakeScheduler scheduler = new FakeScheduler("regaining", this.table, this.workers, this.time);

	private final FakeScheduler other = new FakeScheduler("other", this.rows, this.workers, this.time);

	@BeforeEach
	void ownTheRack() {
		List.of(this.scheduler, this.other)
			.forEach((each) -> each
				.updateHosts(CellData.hosts(1, CellData.worker("w1", "r1"), CellData.worker("w2", "r1"))));
		this.other.racks().acquireOwnership("r1", 1);
		this.other.runScheduledWork();
		this.scheduler.useRacksOf(this.other);
	}

	private static void own(FakeScheduler owner, long epoch, RunDeclaration run) {
		owner.queues().update(CellData.activeState(1, run));
		owner.queues().acquireOwnership(CellData.TEAM, epoch);
		owner.control().drain();
		owner.queues().activate(CellData.TEAM);
	}

	private void deliverHeldAnswers() {
		this.table.held.forEach(Runnable::run);
		this.table.held.clear();
		this.scheduler.control().drain();
	}

	private Map<TaskState, Integer> counts(FakeScheduler owner) {
		return owner.queues().jobStatuses().get(0).counts();
	}

	@Nested
	class AReadOfTheFormerOwnership {

		private static final RunDeclaration WAGES = CellData.run("wages", 1, true);

		@BeforeEach
		void regainTheQueueDuringTheRead() {
			RegainedQueueTests.this.table.holdsReads = true;
			own(RegainedQueueTests.this.scheduler, 1, WAGES);
			RegainedQueueTests.this.table.holdsReads = false;
			RegainedQueueTests.this.scheduler.queues().releaseOwnership(CellData.TEAM);
			own(RegainedQueueTests.this.scheduler, 3, WAGES);
		}

		@Test
		void dropsNoStartThatWaitsForItsRecord() {
			RegainedQueueTests.this.rows.setDown(true);
			RegainedQueueTests.this.scheduler.tick();
			RegainedQueueTests.this.rows.setDown(false);

			deliverHeldAnswers();
			RegainedQueueTests.this.scheduler.runSeconds(20);

			assertThat(counts(RegainedQueueTests.this.scheduler)).containsOnlyKeys(TaskState.RUNNING);
		}

		@Test
		void hasNoEndAcknowledgedThatIsNotStored() {
			RegainedQueueTests.this.scheduler.runSeconds(2);
			RegainedQueueTests.this.rows.setDown(true);
			RegainedQueueTests.this.workers.finishAll();
			RegainedQueueTests.this.scheduler.runSecond();

			deliverHeldAnswers();
			RegainedQueueTests.this.scheduler.runSeconds(2);
			RegainedQueueTests.this.rows.setDown(false);
			own(RegainedQueueTests.this.other, 5, WAGES);
			RegainedQueueTests.this.other.runSeconds(10);

			assertThat(RegainedQueueTests.this.workers.runs()).isEqualTo(Map.of("wages@1/0", 1));
			assertThat(counts(RegainedQueueTests.this.other)).containsOnlyKeys(TaskState.FINISHED);
		}

		@Test
		void allowsNoWriteOverARecordThatWasNotLoaded() {
			RegainedQueueTests.this.scheduler.queues().releaseOwnership(CellData.TEAM);
			RegainedQueueTests.this.table.holdsReads = true;
			own(RegainedQueueTests.this.scheduler, 4, WAGES);
			RegainedQueueTests.this.table.holdsReads = false;
			RegainedQueueTests.this.scheduler.queues().releaseOwnership(CellData.TEAM);
			own(RegainedQueueTests.this.scheduler, 6, WAGES);
			own(RegainedQueueTests.this.other, 5, WAGES);
			RegainedQueueTests.this.other.runSeconds(2);
			RegainedQueueTests.this.workers.finishAll();
			RegainedQueueTests.this.other.runSeconds(3);
			assertThat(counts(RegainedQueueTests.this.other)).containsOnlyKeys(TaskState.FINISHED);

			deliverHeldAnswers();
			RegainedQueueTests.this.scheduler.runSeconds(10);

			assertThat(RegainedQueueTests.this.workers.runs()).isEqualTo(Map.of("wages@1/0", 1));
		}

	}

	@Nested
	class AWriteOfTheFormerOwnership {

		// One task fits on each worker.
		private static final RunDeclaration PAIR = new RunDeclaration("wages", "1", CellData.TEAM, 2,
				new Resources(5, 1024, 0), 60_000, true, false, List.of(), List.of());

		@Test
		void doesNotStandForAWriteOfThePresentOne() {
			own(RegainedQueueTests.this.scheduler, 1, PAIR);
			RegainedQueueTests.this.scheduler.runSeconds(2);
			RegainedQueueTests.this.table.losesWrites = true;
			RegainedQueueTests.this.workers.worker("w1").endAll(AttemptPhase.FINISHED);
			RegainedQueueTests.this.scheduler.runSecond();
			RegainedQueueTests.this.scheduler.queues().releaseOwnership(CellData.TEAM);
			RegainedQueueTests.this.table.losesWrites = false;
			own(RegainedQueueTests.this.other, 2, PAIR);
			RegainedQueueTests.this.other.runSeconds(3);
			own(RegainedQueueTests.this.scheduler, 3, PAIR);
			RegainedQueueTests.this.scheduler.runSeconds(3);
			assertThat(counts(RegainedQueueTests.this.scheduler)).containsEntry(TaskState.RUNNING, 1);

			deliverHeldAnswers();
			RegainedQueueTests.this.scheduler.runSeconds(3);
			RegainedQueueTests.this.workers.finishAll();
			RegainedQueueTests.this.other.runSeconds(3);
			RegainedQueueTests.this.scheduler.runSeconds(3);

			assertThat(counts(RegainedQueueTests.this.scheduler)).containsOnlyKeys(TaskState.FINISHED);
		}

	}

	/** A table whose reads take effect when their answers are delivered. */
	private final class HeldAnswers implements TableService {

		private final Queue<Runnable> held = new ArrayDeque<>();

		private boolean holdsReads;

		private boolean losesWrites;

		@Override
		public CompletableFuture<Optional<Row>> read(String key) {
			if (!this.holdsReads || !key.equals(JOB_ROW)) {
				return RegainedQueueTests.this.rows.read(key);
			}
			CompletableFuture<Optional<Row>> late = new CompletableFuture<>();
			this.held.add(() -> late.complete(RegainedQueueTests.this.rows.row(key)));
			return late;
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return RegainedQueueTests.this.rows.scan(prefix, after, limit);
		}

		@Override
		public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
			if (!this.losesWrites) {
				return RegainedQueueTests.this.rows.commit(writes);
			}
			CompletableFuture<CommitResult> late = new CompletableFuture<>();
			this.held.add(() -> RegainedQueueTests.this.rows.commit(writes).thenAccept(late::complete));
			return late;
		}

	}

}
