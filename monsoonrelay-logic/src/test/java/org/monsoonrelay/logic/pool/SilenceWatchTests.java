package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class SilenceWatchTests {

	private static final Resources SIZE = new Resources(1000, 100, 0);

	private static final long DOUBT_NANOS = TimeUnit.MILLISECONDS.toNanos(SilenceWatch.UNANSWERED_MILLIS + 1);

	private final PoolWorker first = worker("first", "north");

	private final PoolWorker second = worker("second", "north");

	private final PoolWorker third = worker("third", "north");

	private final PoolWorker elsewhere = worker("elsewhere", "south");

	private static PoolWorker worker(String id, String domain) {
		PoolWorker worker = new PoolWorker(
				new WorkerInfo(id, "s", "a:1", domain, new Resources(8000, 800, 0), List.of(), "r", false, 0));
		worker.markReached();
		worker.markNamed();
		worker.heard(0);
		return worker;
	}

	private List<String> doubted(long nowNanos) {
		List<PoolWorker> all = List.of(this.first, this.second, this.third, this.elsewhere);
		SilenceWatch.judge(all, nowNanos);
		return all.stream().filter(PoolWorker::isDoubted).map(PoolWorker::id).toList();
	}

	@Test
	void aWorkerThatLeavesAnOrderUnansweredTakesNoMoreUntilItAnswers() {
		this.first.ordered(1);
		assertThat(doubted(2)).isEmpty();
		assertThat(doubted(1 + DOUBT_NANOS)).containsExactly("first");
		assertThat(this.first.accepts(SIZE, 0)).isFalse();
		this.first.heard(2 + DOUBT_NANOS);
		assertThat(this.first.accepts(SIZE, 0)).isTrue();
		assertThat(doubted(3 + DOUBT_NANOS)).isEmpty();
	}

	@Test
	void aFailureDomainOfWhichNoWorkerAnswersIsDoubtedWhole() {
		this.first.ordered(1);
		this.second.ordered(2);
		assertThat(doubted(2 + DOUBT_NANOS)).containsExactly("first", "second", "third");
		assertThat(Stream.of(this.third, this.elsewhere).map((worker) -> worker.accepts(SIZE, 0)))
			.containsExactly(false, true);
	}

	@Test
	void aFailureDomainOfWhichAnotherWorkerAnswersIsNot() {
		this.first.ordered(1);
		this.second.ordered(2);
		this.third.heard(3);
		assertThat(doubted(3 + DOUBT_NANOS)).containsExactly("first", "second");
	}

}
