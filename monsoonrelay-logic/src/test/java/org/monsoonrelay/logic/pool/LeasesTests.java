package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Leases of workers and of the owner: a lease counts as expired only when no run can be
 * active under it any more.
 */
class LeasesTests {

	private long nowNanos = 1;

	private long nowMillis = 1_000_000;

	private void advance(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
		this.nowMillis += millis;
	}

	@Nested
	class OfWorkers {

		private final WorkerLease lease = new WorkerLease();

		@Test
		void expireAfterTheLongestTimeOnTheSlowestClock() {
			this.lease.updateClock(5000, LeasesTests.this.nowNanos);
			advance(20_000);
			this.lease.updateClock(25_000, LeasesTests.this.nowNanos);
			assertThat(this.lease.extend(LeasesTests.this.nowNanos, 7000)).isEqualTo(32_000);
			advance(7140);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isFalse();
			advance(10);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void areNeverShortened() {
			this.lease.updateClock(5000, LeasesTests.this.nowNanos);
			advance(20_000);
			this.lease.updateClock(25_000, LeasesTests.this.nowNanos);
			this.lease.extend(LeasesTests.this.nowNanos, 7000);
			this.lease.extend(LeasesTests.this.nowNanos, 500);
			advance(1000);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isFalse();
		}

		@Test
		void ofAnEarlierOwnerAreTakenIntoAccount() {
			this.lease.updateClock(5000, LeasesTests.this.nowNanos);
			advance(OwnerLease.MAX_WORKER_LEASE_MILLIS);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isFalse();
			advance(OwnerLease.MAX_WORKER_LEASE_MILLIS);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void ofEarlierOwnersEndAtTheKnownEnd() {
			long startNanos = LeasesTests.this.nowNanos;
			this.lease.updateClock(5000, startNanos);
			this.lease.limitFormerLeases(startNanos + TimeUnit.MILLISECONDS.toNanos(9000));
			this.lease.limitFormerLeases(startNanos + TimeUnit.MILLISECONDS.toNanos(12_000));
			advance(8999);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isFalse();
			advance(1);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void ofThisOwnerAreNotLimitedByThoseOfEarlierOwners() {
			this.lease.updateClock(5000, LeasesTests.this.nowNanos);
			this.lease.limitFormerLeases(LeasesTests.this.nowNanos);
			this.lease.extend(LeasesTests.this.nowNanos, 7000);
			advance(7140);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isFalse();
			advance(10);
			assertThat(this.lease.isExpired(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void thatTheFormerIncarnationCausedAreTakenIntoAccount() {
			WorkerLease restarted = WorkerLease.ofRestartedWorker(LeasesTests.this.nowNanos);
			advance(10_200);
			assertThat(restarted.isExpired(LeasesTests.this.nowNanos)).isFalse();
			restarted.updateClock(40, LeasesTests.this.nowNanos);
			advance(10_200);
			assertThat(restarted.isExpired(LeasesTests.this.nowNanos)).isFalse();
			advance(10);
			assertThat(restarted.isExpired(LeasesTests.this.nowNanos)).isTrue();
			WorkerLease silent = WorkerLease.ofRestartedWorker(LeasesTests.this.nowNanos);
			advance(10_210);
			assertThat(silent.isExpired(LeasesTests.this.nowNanos)).isTrue();
		}

		@Test
		void ignoreClockReadingsThatArriveOutOfOrder() {
			this.lease.updateClock(25_000, LeasesTests.this.nowNanos);
			advance(10);
			this.lease.updateClock(24_000, LeasesTests.this.nowNanos);
			assertThat(this.lease.extend(LeasesTests.this.nowNanos, 100)).isEqualTo(25_110);
		}

	}

	@Nested
	class OfTheOwner {

		private final OwnerLease term = new OwnerLease(3,
				new PoolClock(() -> LeasesTests.this.nowNanos, () -> LeasesTests.this.nowMillis));

		@Test
		void shortenWhileTheOwnerRecordIsNotRenewed() {
			this.term.renewed(LeasesTests.this.nowNanos, LeasesTests.this.nowMillis);
			advance(OwnerLease.EXPIRY_MILLIS);
			assertThat(this.term.workerLeaseMillis()).isEqualTo(OwnerLease.MAX_WORKER_LEASE_MILLIS);
			advance(3000);
			assertThat(this.term.workerLeaseMillis()).isEqualTo(OwnerLease.MAX_WORKER_LEASE_MILLIS - 3000);
			advance(4000);
			assertThat(this.term.canGrantLeases()).isFalse();
		}

		@Test
		void haveFencingTokensBetweenTheEpochsOfOwners() {
			PoolClock clock = new PoolClock(() -> LeasesTests.this.nowNanos, () -> LeasesTests.this.nowMillis);
			OwnerLease first = new OwnerLease(OwnerLease.TOKENS_PER_EPOCH, clock);
			OwnerLease next = new OwnerLease(2 * OwnerLease.TOKENS_PER_EPOCH, clock);
			assertThat(first.fencingToken(0)).isEqualTo(1);
			assertThat(first.fencingToken(1)).isEqualTo(2);
			assertThat(first.fencingToken(1000)).isEqualTo(first.epoch()).isLessThan(next.fencingToken(0));
			assertThat(first.isLastFencingToken(98)).isFalse();
			assertThat(first.isLastFencingToken(99)).isTrue();
		}

		@Test
		void expireAtOnceAfterTheProcessWasSuspended() {
			this.term.renewed(LeasesTests.this.nowNanos, LeasesTests.this.nowMillis);
			LeasesTests.this.nowMillis += 12_000;
			assertThat(this.term.canGrantLeases()).isFalse();
			assertThat(this.term.canStartNewJobs()).isFalse();
		}

	}

}
