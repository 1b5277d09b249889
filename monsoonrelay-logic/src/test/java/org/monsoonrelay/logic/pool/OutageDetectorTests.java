package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class OutageDetectorTests {

	private final OutageDetector detector = new OutageDetector();

	private final List<PoolWorker> workers = new ArrayList<>();

	OutageDetectorTests() {
		for (int i = 0; i < 24; i++) {
			String domain = "domain" + i / 12;
			String rack = "rack" + i / 6;
			this.workers.add(new PoolWorker(new WorkerInfo("w" + i, "salon", "10.0.0.1:1", domain, Resources.NONE,
					List.of("a", rack), rack, false, 0)));
		}
	}

	private void loseContact(int worker, long millis) {
		loseContact(worker, false, millis);
	}

	private void loseContact(int worker, boolean hasCrashingTask, long millis) {
		long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
		this.detector.workerUnreachable(this.workers.get(worker), hasCrashingTask, nanos);
		this.workers.get(worker).markUnreachable(nanos);
	}

	private boolean isPartOfOutage(int worker) {
		return this.detector.isPartOfOutage(this.workers.get(worker), this.workers, TimeUnit.SECONDS.toNanos(10));
	}

	@Test
	void halfOfARackThatIsLostTogetherIsAnOutage() {
		for (int i = 0; i < 3; i++) {
			loseContact(i, 1000 + 400 * i);
		}
		assertThat(isPartOfOutage(0)).isTrue();
		assertThat(isPartOfOutage(2)).isTrue();
	}

	@Test
	void halfOfAFailureDomainThatIsLostTogetherIsAnOutage() {
		for (int i = 0; i < 12; i += 2) {
			loseContact(i, 1000);
		}
		assertThat(isPartOfOutage(4)).isTrue();
	}

	@Test
	void workersThatAllRanTasksThatCrashWorkersAreNoOutage() {
		for (int i = 0; i < 6; i++) {
			loseContact(i, true, 1000);
		}
		assertThat(isPartOfOutage(0)).isFalse();
		for (int i = 6; i < 9; i++) {
			loseContact(i, false, 1000);
		}
		assertThat(isPartOfOutage(0)).isTrue();
	}

	@Test
	void workersLostInTurnAreNoOutage() {
		for (int i = 0; i < 6; i++) {
			loseContact(i, 2500 * i);
		}
		assertThat(isPartOfOutage(2)).isFalse();
	}

	@Test
	void workersOfSeveralRacksAreNoOutage() {
		loseContact(0, 1000);
		loseContact(6, 1000);
		loseContact(12, 1000);
		loseContact(18, 1000);
		assertThat(isPartOfOutage(0)).isFalse();
	}

	@Test
	void aWorkerThatIsLostLaterIsNotPartOfAnOutage() {
		for (int i = 0; i < 4; i++) {
			loseContact(i, 1000);
		}
		loseContact(5, 6000);
		assertThat(isPartOfOutage(0)).isTrue();
		assertThat(isPartOfOutage(5)).isFalse();
	}

}
