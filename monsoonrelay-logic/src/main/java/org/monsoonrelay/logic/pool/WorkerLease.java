package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * The lease under which everything on one worker runs, measured on the worker's clock.
 * Invariant: {@link #isExpired} is true only if no order sent by this owner can keep a
 * run alive there. Not thread-safe: confined to the control thread.
 */
final class WorkerLease {

	/** A worker's clock runs at least at this rate. */
	static final double MIN_CLOCK_RATE = 0.98;

	private long clockMillis;

	private long clockReadNanos;

	private long leaseEndMillis;

	private boolean clockKnown;

	/**
	 * Take in the worker's clock.
	 * @param clock what it said
	 * @param nowNanos when that arrived
	 */
	void updateClock(long clock, long nowNanos) {
		if (!this.clockKnown) {
			// An earlier owner may have extended the lease up to now.
			this.leaseEndMillis = clock + OwnerLease.MAX_WORKER_LEASE_MILLIS + OwnerLease.EXPIRY_MILLIS;
		}
		if (!this.clockKnown || clock >= this.clockMillis) {
			this.clockMillis = clock;
			this.clockReadNanos = nowNanos;
			this.clockKnown = true;
		}
	}

	boolean isClockKnown() {
		return this.clockKnown;
	}

	long clockAgeMillis(long nowNanos) {
		return this.clockKnown ? TimeUnit.NANOSECONDS.toMillis(nowNanos - this.clockReadNanos) : -1;
	}

	/**
	 * Extend the lease with an order that is about to be sent.
	 * @param nowNanos the current time
	 * @param forMillis how long from now
	 * @return the end on the worker's clock
	 */
	long extend(long nowNanos, long forMillis) {
		long until = this.clockMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - this.clockReadNanos) + forMillis;
		this.leaseEndMillis = Math.max(this.leaseEndMillis, until);
		return until;
	}

	/**
	 * Whether the lease has run out even on the slowest clock.
	 * @param nowNanos the current time
	 * @return {@code true} if nothing that this owner ordered runs there any more
	 */
	boolean isExpired(long nowNanos) {
		if (this.leaseEndMillis <= this.clockMillis) {
			return true;
		}
		double longest = (this.leaseEndMillis - this.clockMillis) / MIN_CLOCK_RATE;
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.clockReadNanos) > longest + 1;
	}

}
