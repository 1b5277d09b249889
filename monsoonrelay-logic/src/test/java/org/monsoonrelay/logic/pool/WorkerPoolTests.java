package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerPoolTests {

	private static final WorkerInfo INFO = new WorkerInfo("w", "salon", "10.0.0.1:1", "porto",
			new Resources(4000, 1000, 0), List.of(), "r1", false, 0, OptionalLong.of(5));

	private final WorkerPool pool = new WorkerPool();

	private PoolWorker addReachableWorker() {
		this.pool.update(List.of(INFO));
		PoolWorker worker = this.pool.worker("w").orElseThrow();
		worker.incarnation().recordReport(new PollOutcome.Report(OptionalLong.of(5), 1, List.of(), List.of()), 0);
		worker.markReachable();
		return worker;
	}

	@Test
	void aWorkerThatIsListedAgainAcceptsNoWorkWhileARecordWithoutItMayTakeEffect() {
		PoolWorker worker = addReachableWorker();
		this.pool.markRecorded(this.pool.workersToRecord().workers(), Map.of("w", 5L));
		assertThat(worker.isAcceptingWork(1)).isTrue();
		this.pool.update(List.of());
		this.pool.remove(worker);
		assertThat(this.pool.workersToRecord().workers()).isEmpty();
		assertThat(addReachableWorker().isAcceptingWork(1)).isFalse();
		this.pool.markRecorded(this.pool.workersToRecord().workers(), Map.of("w", 5L));
		assertThat(this.pool.worker("w").orElseThrow().isAcceptingWork(1)).isTrue();
	}

}
