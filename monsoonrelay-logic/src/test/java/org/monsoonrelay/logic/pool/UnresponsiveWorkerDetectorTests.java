package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers and failure domains that stop responding get no more tasks.
 */
class UnresponsiveWorkerDetectorTests {

	private static final Resources SIZE = new Resources(1000, 100, 0);

	private static final long TIMEOUT_EXCEEDED_NANOS = TimeUnit.MILLISECONDS
		.toNanos(UnresponsiveWorkerDetector.RESPONSE_TIMEOUT_MILLIS + 1);

	private final PoolWorker first = worker("first", "north");

	private final PoolWorker second = worker("second", "north");

	private final PoolWorker third = worker("third", "north");

	private final PoolWorker elsewhere = worker("elsewhere", "south");

	private static PoolWorker worker(String id, String domain) {
		PoolWorker worker = new PoolWorker(
				new WorkerInfo(id, "s", "a:1", domain, new Resources(8000, 800, 0), List.of(), "r", false, 0));
		worker.markReachable();
		worker.markRecorded();
		worker.responseReceived(0);
		return worker;
	}

	private List<String> suspectedWorkers(long nowNanos) {
		List<PoolWorker> all = List.of(this.first, this.second, this.third, this.elsewhere);
		UnresponsiveWorkerDetector.updateSuspicions(all, nowNanos);
		return all.stream().filter(PoolWorker::isSuspected).map(PoolWorker::id).toList();
	}

	@Test
	void aWorkerThatDoesNotAnswerARequestGetsNoWorkUntilItResponds() {
		this.first.responses().requestSent(1);
		assertThat(suspectedWorkers(2)).isEmpty();
		assertThat(suspectedWorkers(1 + TIMEOUT_EXCEEDED_NANOS)).containsExactly("first");
		assertThat(this.first.canAccept(SIZE, 0)).isFalse();
		this.first.responseReceived(2 + TIMEOUT_EXCEEDED_NANOS);
		assertThat(this.first.canAccept(SIZE, 0)).isTrue();
		assertThat(suspectedWorkers(3 + TIMEOUT_EXCEEDED_NANOS)).isEmpty();
	}

	@Test
	void allWorkersOfAnUnresponsiveFailureDomainAreSuspected() {
		this.first.responses().requestSent(1);
		this.second.responses().requestSent(2);
		assertThat(suspectedWorkers(2 + TIMEOUT_EXCEEDED_NANOS)).containsExactly("first", "second", "third");
		assertThat(Stream.of(this.third, this.elsewhere).map((worker) -> worker.canAccept(SIZE, 0)))
			.containsExactly(false, true);
	}

	@Test
	void aFailureDomainWithARespondingWorkerIsNotSuspected() {
		this.first.responses().requestSent(1);
		this.second.responses().requestSent(2);
		this.third.responseReceived(3);
		assertThat(suspectedWorkers(3 + TIMEOUT_EXCEEDED_NANOS)).containsExactly("first", "second");
	}

}
