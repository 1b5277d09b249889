package org.monsoonrelay.logic.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;

import static org.assertj.core.api.Assertions.assertThat;

class StorageAvailabilityMonitorTests {

	private static final long CHECK_INTERVAL_MILLIS = 50;

	private final List<Decision> decisions = new ArrayList<>();

	private long nowMillis;

	private int probes;

	private final StorageAvailabilityMonitor monitor = new StorageAvailabilityMonitor(() -> this.probes++,
			this::nowNanos, this.decisions::add);

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	private void runFor(long millis, Runnable each) {
		for (long end = this.nowMillis + millis; this.nowMillis < end;) {
			this.nowMillis += CHECK_INTERVAL_MILLIS;
			each.run();
			this.monitor.probeIfDue();
		}
	}

	@Test
	void doesNotProbeWhileResponsesArrive() {
		runFor(5000, this.monitor::recordResponse);
		assertThat(this.probes).isZero();
		assertThat(this.monitor.isAvailable()).isTrue();
	}

	@Test
	void detectsAnUnresponsiveTableWithinASecondAndItsRecoveryAtOnce() {
		runFor(StorageAvailabilityMonitor.PROBE_AFTER_SILENCE_MILLIS + StorageAvailabilityMonitor.PROBE_TIMEOUT_MILLIS
				+ 2 * CHECK_INTERVAL_MILLIS, () -> {
				});
		assertThat(this.monitor.isAvailable()).isFalse();
		runFor(2000, () -> {
		});
		assertThat(this.probes).isGreaterThan(5);
		this.monitor.recordResponse();
		assertThat(this.monitor.isAvailable()).isTrue();
		assertThat(this.decisions).hasSize(2);
	}

	@Test
	void treatsASlowTableAsAvailable() {
		runFor(5000, () -> {
			if (this.nowMillis % 500 == 0) {
				this.monitor.recordResponse();
			}
		});
		assertThat(this.monitor.isAvailable()).isTrue();
	}

	@Test
	void detectsRejectedProbesWithoutWaitingForATimeout() {
		runFor(StorageAvailabilityMonitor.PROBE_AFTER_SILENCE_MILLIS + CHECK_INTERVAL_MILLIS, () -> {
		});
		this.monitor.recordFailedProbe(nowNanos());
		assertThat(this.monitor.isAvailable()).isTrue();
		this.monitor.recordFailedProbe(nowNanos());
		assertThat(this.monitor.isAvailable()).isFalse();
	}

	@Test
	void ignoresTheFailureOfProbesThatWereSentBeforeALaterResponse() {
		runFor(StorageAvailabilityMonitor.PROBE_AFTER_SILENCE_MILLIS + CHECK_INTERVAL_MILLIS, () -> {
		});
		long sentNanos = nowNanos();
		runFor(CHECK_INTERVAL_MILLIS, this.monitor::recordResponse);
		this.monitor.recordFailedProbe(sentNanos);
		this.monitor.recordFailedProbe(sentNanos);
		assertThat(this.monitor.isAvailable()).isTrue();
	}

}
