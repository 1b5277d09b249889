package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * How long this owner's orders may keep a run alive. Others may take the pool over once
 * the owner's row has not changed for {@link #EXPIRY_MILLIS}; they then wait out
 * {@link #MAX_WORKER_LEASE_MILLIS} for workers that they cannot reach. Invariant: no
 * order carries a lease that ends later than that, even if this process stood still
 * meanwhile. Not thread-safe: confined to the control thread.
 */
final class OwnerLease {

	/** How often the owner's row is written at least, milliseconds. */
	static final long RENEWAL_INTERVAL_MILLIS = 400;

	/**
	 * How long the row may stand still before others take over, milliseconds. Five
	 * renewals may get lost; shorter ones were not safe beside a service that answers 60
	 * times as slowly.
	 */
	static final long EXPIRY_MILLIS = 2200;

	/**
	 * The longest lease of a worker, milliseconds. Cuts of 5 to 6 seconds are lived
	 * through; a lost worker's tasks wait this long.
	 */
	static final long MAX_WORKER_LEASE_MILLIS = 7000;

	/**
	 * How long orders of an owner that does not know of its successor may keep a run
	 * alive after the take-over, milliseconds. It knows after its lapse at the latest.
	 */
	static final long MAX_ORDER_VALIDITY_MILLIS = EXPIRY_MILLIS + MAX_WORKER_LEASE_MILLIS;

	/** Leases shorter than this are not worth an order, milliseconds. */
	static final long MIN_WORKER_LEASE_MILLIS = 400;

	private final long epoch;

	private final PoolClock clock;

	private long renewedNanos;

	private long renewedWallMillis;

	private boolean contested;

	OwnerLease(long epoch, PoolClock clock) {
		this.epoch = epoch;
		this.clock = clock;
	}

	/**
	 * Note a write of the row that took effect.
	 * @param sentNanos when it was sent
	 * @param sentWallMillis the time of day when it was sent
	 */
	void renewed(long sentNanos, long sentWallMillis) {
		this.renewedNanos = sentNanos;
		this.renewedWallMillis = sentWallMillis;
		this.contested = false;
	}

	/**
	 * Note that others are asked to take over, before they are: from now on until the
	 * next write another owner may be there.
	 */
	void markContested() {
		this.contested = true;
	}

	/**
	 * How long a lease that is given now may last.
	 * @return milliseconds, may be negative
	 */
	long workerLeaseMillis() {
		long left = MAX_ORDER_VALIDITY_MILLIS - millisSinceRenewal();
		return Math.min(MAX_WORKER_LEASE_MILLIS, left);
	}

	boolean canGrantLeases() {
		return workerLeaseMillis() >= MIN_WORKER_LEASE_MILLIS;
	}

	/**
	 * Whether jobs that come now may be started before the next renewal.
	 * @return {@code true} if the row was written recently and nobody was asked to take
	 * over since
	 */
	boolean canStartNewJobs() {
		return !this.contested && millisSinceRenewal() < EXPIRY_MILLIS;
	}

	/**
	 * Time since the last renewal, on the clock that saw more of it: the steady clock
	 * does not count suspensions.
	 * @return milliseconds
	 */
	private long millisSinceRenewal() {
		long steady = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - this.renewedNanos);
		return Math.max(steady, this.clock.millis() - this.renewedWallMillis);
	}

	long epoch() {
		return this.epoch;
	}

}
