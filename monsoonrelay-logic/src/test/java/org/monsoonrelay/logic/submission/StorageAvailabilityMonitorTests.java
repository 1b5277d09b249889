package org.monsoonrelay.logic.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;

import static org.assertj.core.api.Assertions.assertThat;

class StorageAvailabilityMonitorTests {

	private static final long CHECK_MILLIS = 50;

	private final List<Decision> decisions = new ArrayList<>();

	private long nowMillis;

	private int questions;

	private final StorageAvailabilityMonitor watch = new StorageAvailabilityMonitor(() -> this.questions++,
			() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis), this.decisions::add);

	private void runFor(long millis, Runnable each) {
		for (long end = this.nowMillis + millis; this.nowMillis < end;) {
			this.nowMillis += CHECK_MILLIS;
			each.run();
			this.watch.probeIfDue();
		}
	}

	@Test
	void asksNothingWhileAnswersCome() {
		runFor(5000, this.watch::recordResponse);
		assertThat(this.questions).isZero();
		assertThat(this.watch.isAvailable()).isTrue();
	}

	@Test
	void findsASilentTableOutWithinASecondAndItsReturnAtOnce() {
		runFor(StorageAvailabilityMonitor.SILENCE_MILLIS + StorageAvailabilityMonitor.PROBE_TIMEOUT_MILLIS
				+ 2 * CHECK_MILLIS, () -> {
				});
		assertThat(this.watch.isAvailable()).isFalse();
		runFor(2000, () -> {
		});
		assertThat(this.questions).isGreaterThan(5);
		this.watch.recordResponse();
		assertThat(this.watch.isAvailable()).isTrue();
		assertThat(this.decisions).hasSize(2);
	}

	@Test
	void takesASlowTableForOneThatAnswers() {
		runFor(5000, () -> {
			if (this.nowMillis % 500 == 0) {
				this.watch.recordResponse();
			}
		});
		assertThat(this.watch.isAvailable()).isTrue();
	}

	@Test
	void doesNotWaitOutATableThatTurnsQuestionsDown() {
		runFor(StorageAvailabilityMonitor.SILENCE_MILLIS + CHECK_MILLIS, () -> {
		});
		this.watch.recordFailedProbe();
		assertThat(this.watch.isAvailable()).isTrue();
		this.watch.recordFailedProbe();
		assertThat(this.watch.isAvailable()).isFalse();
	}

}
