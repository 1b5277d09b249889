package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * The lease under which all runs on one incarnation of a worker execute, measured on the
 * worker's clock. Invariant: {@link #isExpired} is true only if no request sent by this
 * owner can keep a run active on the worker. Not thread-safe: confined to the control
 * thread.
 */
final class WorkerLease {

	/** Minimum rate of a worker's clock relative to the clock of this process. */
	static final double MIN_CLOCK_RATE = 0.98;

	private final boolean restarted;

	private final long restartNoticedNanos;

	private long clockMillis;

	private long clockReadNanos;

	private long leaseEndMillis;

	private boolean clockKnown;

	// Monotonic time at which all leases of earlier owners, and those that requests to a
	// former incarnation caused, have ended.
	private long formerEndNanos;

	WorkerLease() {
		this(false, 0);
	}

	private WorkerLease(boolean restarted, long restartNoticedNanos) {
		this.restarted = restarted;
		this.restartNoticedNanos = restartNoticedNanos;
	}

	/**
	 * Creates the lease of a worker that has restarted. Requests to its former
	 * incarnation may have granted it a lease.
	 * @param nowNanos monotonic time at which the restart was noticed
	 * @return the lease
	 */
	static WorkerLease ofRestartedWorker(long nowNanos) {
		return new WorkerLease(true, nowNanos);
	}

	/**
	 * Updates the last known reading of the worker's clock. A reading lower than the last
	 * one arrived out of order and is ignored.
	 * @param clock the reading, milliseconds
	 * @param nowNanos monotonic time at which the reading arrived
	 */
	void updateClock(long clock, long nowNanos) {
		if (!this.clockKnown) {
			// Earlier requests may have extended the lease until just now.
			this.formerEndNanos = nowNanos
					+ TimeUnit.MILLISECONDS.toNanos(maxMillis(OwnerLease.MAX_GRANTED_LEASE_MILLIS));
			this.leaseEndMillis = clock;
		}
		if (!this.clockKnown || clock >= this.clockMillis) {
			this.clockMillis = clock;
			this.clockReadNanos = nowNanos;
			this.clockKnown = true;
		}
	}

	/**
	 * Limits the leases of earlier owners, once the clock is known. To be called only if
	 * no request to a former incarnation can have been executed by this one.
	 * @param endNanos monotonic time at which all leases have ended that earlier owners
	 * granted
	 */
	void limitFormerLeases(long endNanos) {
		if (endNanos - this.formerEndNanos < 0) {
			this.formerEndNanos = endNanos;
		}
	}

	boolean isClockKnown() {
		return this.clockKnown;
	}

	/**
	 * Returns the last known reading of the worker's clock.
	 * @return milliseconds, 0 if no reading is known
	 */
	long clockMillis() {
		return this.clockMillis;
	}

	long clockAgeMillis(long nowNanos) {
		return this.clockKnown ? TimeUnit.NANOSECONDS.toMillis(nowNanos - this.clockReadNanos) : -1;
	}

	/**
	 * Extends the lease with a request that is about to be sent. The lease is never
	 * shortened.
	 * @param nowNanos the current monotonic time
	 * @param durationMillis duration of the lease from now, milliseconds
	 * @return the requested end of the lease on the worker's clock, milliseconds
	 */
	long extend(long nowNanos, long durationMillis) {
		long endMillis = this.clockMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - this.clockReadNanos)
				+ durationMillis;
		this.leaseEndMillis = Math.max(this.leaseEndMillis, endMillis);
		return endMillis;
	}

	/**
	 * Returns whether the lease has expired even if the worker's clock runs at the
	 * minimum rate.
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if no run can be active unless a successor of this owner has
	 * extended the lease
	 */
	boolean isExpired(long nowNanos) {
		return remainingMillis(nowNanos) <= 0;
	}

	/**
	 * Returns the time until the lease has expired even if the worker's clock runs at the
	 * minimum rate.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, not positive if it has expired
	 */
	long remainingMillis(long nowNanos) {
		if (!this.clockKnown) {
			return this.restarted
					? remainingMillis(OwnerLease.MAX_GRANTED_LEASE_MILLIS, this.restartNoticedNanos, nowNanos) : 0;
		}
		long formerMillis = TimeUnit.NANOSECONDS.toMillis(this.formerEndNanos - nowNanos);
		return Math.max(formerMillis,
				remainingMillis(this.leaseEndMillis - this.clockMillis, this.clockReadNanos, nowNanos));
	}

	private static long remainingMillis(long workerMillis, long sinceNanos, long nowNanos) {
		if (workerMillis <= 0) {
			return 0;
		}
		return maxMillis(workerMillis) - TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
	}

	// The longest duration, by the clock of this process, of a time on the worker's
	// clock.
	private static long maxMillis(long workerMillis) {
		return (long) (workerMillis / MIN_CLOCK_RATE) + 2;
	}

}
