package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeasesTests {

	private long nowNanos = 1;

	private long nowMillis = 1_000_000;

	private void pass(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
		this.nowMillis += millis;
	}

	@Nested
	class OfWorkers {

		private final WorkerLease lease = new WorkerLease();

		@Test
		void lapseLaterOnTheSlowestClock() {
			this.lease.heard(5000, LeasesTests.this.nowNanos);
			pass(20_000);
			this.lease.heard(25_000, LeasesTests.this.nowNanos);
			assertThat(this.lease.extend(LeasesTests.this.nowNanos, 7000)).isEqualTo(32_000);
			pass(7140);
			assertThat(this.lease.surelyLapsed(LeasesTests.this.nowNanos)).isFalse();
			pass(10);
			assertThat(this.lease.surelyLapsed(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void neverShorten() {
			this.lease.heard(5000, LeasesTests.this.nowNanos);
			pass(20_000);
			this.lease.heard(25_000, LeasesTests.this.nowNanos);
			this.lease.extend(LeasesTests.this.nowNanos, 7000);
			this.lease.extend(LeasesTests.this.nowNanos, 500);
			pass(1000);
			assertThat(this.lease.surelyLapsed(LeasesTests.this.nowNanos)).isFalse();
		}

		@Test
		void ofAnEarlierOwnerAreWaitedOut() {
			this.lease.heard(5000, LeasesTests.this.nowNanos);
			pass(OwnerLease.MAX_WORKER_LEASE_MILLIS);
			assertThat(this.lease.surelyLapsed(LeasesTests.this.nowNanos)).isFalse();
			pass(OwnerLease.MAX_WORKER_LEASE_MILLIS);
			assertThat(this.lease.surelyLapsed(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void areNotMovedByAnAnswerThatOvertookAnother() {
			this.lease.heard(25_000, LeasesTests.this.nowNanos);
			pass(10);
			this.lease.heard(24_000, LeasesTests.this.nowNanos);
			assertThat(this.lease.extend(LeasesTests.this.nowNanos, 100)).isEqualTo(25_110);
		}

	}

	@Nested
	class OfTheOwner {

		private final OwnerLease term = new OwnerLease(3,
				new PoolClock(() -> LeasesTests.this.nowNanos, () -> LeasesTests.this.nowMillis));

		@Test
		void shortenWhileTheRowIsNotWritten() {
			this.term.renewed(LeasesTests.this.nowNanos, LeasesTests.this.nowMillis);
			pass(OwnerLease.EXPIRY_MILLIS);
			assertThat(this.term.workerLeaseMillis()).isEqualTo(OwnerLease.MAX_WORKER_LEASE_MILLIS);
			pass(3000);
			assertThat(this.term.workerLeaseMillis()).isEqualTo(OwnerLease.MAX_WORKER_LEASE_MILLIS - 3000);
			pass(4000);
			assertThat(this.term.canGrantLeases()).isFalse();
		}

		@Test
		void endAtOnceAfterTheProcessStoodStill() {
			this.term.renewed(LeasesTests.this.nowNanos, LeasesTests.this.nowMillis);
			LeasesTests.this.nowMillis += 12_000;
			assertThat(this.term.canGrantLeases()).isFalse();
			assertThat(this.term.canStartNewJobs()).isFalse();
		}

	}

}
