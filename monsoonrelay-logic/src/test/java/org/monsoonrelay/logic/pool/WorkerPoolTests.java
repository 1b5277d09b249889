package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerPoolTests {

	private static final WorkerInfo INFO = new WorkerInfo("w", "salon", "10.0.0.1:1", "porto",
			new Resources(4000, 1000, 0), List.of(), "r1", false, 0, OptionalLong.of(5));

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private static final TaskKey UNLOADED = new TaskKey("unloaded", 0, 0, 0);

	private final WorkerPool pool = new WorkerPool();

	private PoolWorker addReachableWorker() {
		this.pool.update(List.of(INFO));
		PoolWorker worker = this.pool.worker("w").orElseThrow();
		worker.incarnation().recordReport(new PollOutcome.Report(OptionalLong.of(5), 1, List.of(), List.of()), 0);
		worker.markReachable();
		return worker;
	}

	private OwnerRecord writeRecord() {
		WorkerPool.RecordedWorkers named = this.pool.workersToRecord(false, 0);
		OwnerRecord record = new OwnerRecord("h", "s0", 100, 1, false, named.workers(), named.closedWorkers(),
				HostSize.UNKNOWN, List.of(), true, true, named.incarnations(), Map.of(), named.silentWorkers(),
				Map.of(), true, "");
		this.pool.markRecorded(record);
		return record;
	}

	@Test
	void aWorkerThatIsListedAgainAcceptsNoWorkWhileARecordWithoutItMayTakeEffect() {
		PoolWorker worker = addReachableWorker();
		writeRecord();
		assertThat(worker.isAcceptingWork(1)).isTrue();
		this.pool.update(List.of());
		this.pool.remove(worker);
		assertThat(this.pool.workersToRecord(false, 0).workers()).isEmpty();
		assertThat(addReachableWorker().isAcceptingWork(1)).isFalse();
		writeRecord();
		assertThat(this.pool.worker("w").orElseThrow().isAcceptingWork(1)).isTrue();
	}

	// Guards against a start that outlives what the next owner counts on.
	@Test
	void aWorkerOfTheFormerOwnerAcceptsNoWorkWhileARecordNamesItAsSilent() {
		OwnerRecord former = new OwnerRecord("g", "s1", 100, 1, false, List.of("w"), Map.of(), HostSize.UNKNOWN,
				List.of(), true, true, Map.of(), Map.of(), Map.of(), Map.of(), true, "");
		this.pool.recoverFrom(new TakeOver(former, 1, 0, 0, former, 0, 0, 0));
		this.pool.update(List.of(INFO));
		this.pool.worker("w").orElseThrow().markUnreachable(0);
		OwnerRecord record = writeRecord();
		assertThat(record.workers()).contains("w");
		assertThat(record.silentWorkers()).containsKey("w");
		PoolWorker worker = addReachableWorker();
		this.pool.inherited().markReconciled("w");
		assertThat(this.pool.mayGrantLease(worker)).isFalse();
		assertThat(worker.isAcceptingWork(1)).isFalse();
		assertThat(writeRecord().silentWorkers()).isEmpty();
		assertThat(worker.isAcceptingWork(1)).isTrue();
	}

	@Test
	void aDrainingWorkerIsRecordedWithTasksWhoseEndsTheNextOwnerWouldNotKnow() {
		PoolWorker worker = addReachableWorker();
		TerminatedTask processed = new TerminatedTask(1, TASK, 1, TerminationReason.DONE, "");
		worker.terminations().markProcessed(processed);
		worker.terminations().defer(List.of(new TerminatedTask(2, UNLOADED, 1, TerminationReason.DONE, "")));
		this.pool.update(List.of(new WorkerInfo(INFO.id(), INFO.service(), INFO.address(), INFO.failureDomain(),
				INFO.capacity(), INFO.labels(), INFO.rack(), true, 2000, INFO.startedMillis())));
		assertThat(this.pool.workersToRecord(true, 0).closedWorkers().get("w"))
			.containsExactlyInAnyOrder(TASK.toString(), UNLOADED.toString());
		assertThat(this.pool.workersToRecord(false, 0).closedWorkers().get("w")).containsExactly(UNLOADED.toString());
		worker.terminations().markDurable(1);
		assertThat(this.pool.workersToRecord(true, 0).closedWorkers().get("w")).containsExactly(UNLOADED.toString());
	}

}
