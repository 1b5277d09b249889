package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * The lease under which everything on one worker runs, measured on the worker's clock.
 * Invariant: {@link #surelyLapsed} is true only if no order sent by this owner can keep a
 * run alive there. Not thread-safe: confined to the control thread.
 */
final class WorkerLease {

	/** A worker's clock runs at least at this rate. */
	static final double SLOWEST_RATE = 0.98;

	private long clockMillis;

	private long heardNanos;

	private long leaseMillis;

	private boolean known;

	/**
	 * Take in the worker's clock.
	 * @param clock what it said
	 * @param nowNanos when that arrived
	 */
	void heard(long clock, long nowNanos) {
		if (!this.known) {
			// An earlier owner may have extended the lease up to now.
			this.leaseMillis = clock + OwnerLease.MAX_WORKER_LEASE_MILLIS + OwnerLease.EXPIRY_MILLIS;
		}
		if (!this.known || clock >= this.clockMillis) {
			this.clockMillis = clock;
			this.heardNanos = nowNanos;
			this.known = true;
		}
	}

	boolean isKnown() {
		return this.known;
	}

	long ageMillis(long nowNanos) {
		return this.known ? TimeUnit.NANOSECONDS.toMillis(nowNanos - this.heardNanos) : -1;
	}

	/**
	 * Extend the lease with an order that is about to be sent.
	 * @param nowNanos the current time
	 * @param forMillis how long from now
	 * @return the end on the worker's clock
	 */
	long extend(long nowNanos, long forMillis) {
		long until = this.clockMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - this.heardNanos) + forMillis;
		this.leaseMillis = Math.max(this.leaseMillis, until);
		return until;
	}

	/**
	 * Whether the lease has run out even on the slowest clock.
	 * @param nowNanos the current time
	 * @return {@code true} if nothing that this owner ordered runs there any more
	 */
	boolean surelyLapsed(long nowNanos) {
		if (this.leaseMillis <= this.clockMillis) {
			return true;
		}
		double longest = (this.leaseMillis - this.clockMillis) / SLOWEST_RATE;
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.heardNanos) > longest + 1;
	}

}
