package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * The owner's lease on the pool, which each write of the owner record renews, and the
 * worker leases that it allows. Other hosts may take the pool over once the row has not
 * changed for {@link #EXPIRY_MILLIS}; they then wait {@link #MAX_WORKER_LEASE_MILLIS} for
 * workers that they cannot reach. Invariant: no request to a worker carries a lease that
 * ends later than {@link #MAX_REQUEST_VALIDITY_MILLIS} after the last renewal, even if
 * this process was suspended in between. Not thread-safe: confined to the control thread.
 */
final class OwnerLease {

	/** Maximum interval between writes of the owner record, milliseconds. */
	static final long RENEWAL_INTERVAL_MILLIS = 400;

	/**
	 * Time without a change of the row after which other hosts take the pool over,
	 * milliseconds. Up to five renewals may be lost. Shorter values were not safe with a
	 * service that answered 60 times as slowly as usual.
	 */
	static final long EXPIRY_MILLIS = 2200;

	/**
	 * Maximum duration of a worker's lease, milliseconds. Runs survive network partitions
	 * of 5 to 6 seconds; the tasks of a lost worker are restarted only after this time.
	 */
	static final long MAX_WORKER_LEASE_MILLIS = 7000;

	/**
	 * Time after a take-over for which requests of a former owner that does not know of
	 * its successor may keep a run alive, milliseconds. The former owner stops at the
	 * latest when its own lease has expired.
	 */
	static final long MAX_REQUEST_VALIDITY_MILLIS = EXPIRY_MILLIS + MAX_WORKER_LEASE_MILLIS;

	/**
	 * Time after the last renewal of an owner that another process can know of, until no
	 * lease can be in force that this owner granted, milliseconds. The worker's clock may
	 * be slow, also from its last known reading to the request.
	 */
	static final long MAX_FORMER_LEASE_MILLIS = maxMillisOnSlowClock(MAX_REQUEST_VALIDITY_MILLIS);

	/**
	 * Time after the end of an owner's process until no lease can be in force that it
	 * granted, milliseconds.
	 */
	static final long MAX_LEASE_OF_ENDED_PROCESS_MILLIS = maxMillisOnSlowClock(MAX_WORKER_LEASE_MILLIS);

	/** Minimum duration of a worker lease that is worth a request, milliseconds. */
	static final long MIN_WORKER_LEASE_MILLIS = 400;

	/**
	 * Maximum duration of a lease that a worker grants, milliseconds. A request that was
	 * meant for an earlier incarnation of a worker carries an end on that one's clock,
	 * which may lie that far ahead on the clock of the later one.
	 */
	static final long MAX_GRANTED_LEASE_MILLIS = 10_000;

	/**
	 * Number of fencing tokens per epoch. An owner uses a higher one for a worker once
	 * requests with the former one might be executed by a later incarnation.
	 */
	static final long TOKENS_PER_EPOCH = 100;

	private final long epoch;

	private final PoolClock clock;

	private long renewedNanos;

	private long renewedWallMillis;

	private boolean contested;

	private static long maxMillisOnSlowClock(long leaseMillis) {
		long sinceReading = WorkerPoller.MAX_CLOCK_READING_AGE_MILLIS;
		return (long) ((sinceReading + leaseMillis) / WorkerLease.MIN_CLOCK_RATE) - sinceReading + 1;
	}

	OwnerLease(long epoch, PoolClock clock) {
		this.epoch = epoch;
		this.clock = clock;
	}

	/**
	 * Records a successful write of the owner record.
	 * @param sentNanos when the write was sent, on the monotonic clock
	 * @param sentWallMillis when the write was sent, epoch milliseconds
	 */
	void renewed(long sentNanos, long sentWallMillis) {
		this.renewedNanos = sentNanos;
		this.renewedWallMillis = sentWallMillis;
		this.contested = false;
	}

	/**
	 * Records that other hosts are about to be asked to take the pool over. Until the
	 * next renewal, another owner may exist.
	 */
	void markContested() {
		this.contested = true;
	}

	/**
	 * Duration of a worker lease that is granted now.
	 * @return milliseconds, negative if the owner's lease has expired for too long
	 */
	long workerLeaseMillis() {
		long remaining = MAX_REQUEST_VALIDITY_MILLIS - renewalAgeMillis();
		return Math.min(MAX_WORKER_LEASE_MILLIS, remaining);
	}

	boolean canGrantLeases() {
		return workerLeaseMillis() >= MIN_WORKER_LEASE_MILLIS;
	}

	/**
	 * Whether jobs that arrive now may be started before the next renewal.
	 * @return {@code true} if the owner's lease has not expired and no other host was
	 * asked to take over since the last renewal
	 */
	boolean canStartNewJobs() {
		return !this.contested && !isExpired();
	}

	/**
	 * Whether other hosts may have taken the pool over because the row has not changed.
	 * @return {@code true} if the owner's lease has expired
	 */
	boolean isExpired() {
		return renewalAgeMillis() >= EXPIRY_MILLIS;
	}

	/**
	 * Time since the last renewal, by the clock that advanced further: the monotonic
	 * clock does not count suspensions of the process or host.
	 * @return milliseconds
	 */
	long renewalAgeMillis() {
		long elapsed = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - this.renewedNanos);
		return Math.max(elapsed, this.clock.millis() - this.renewedWallMillis);
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Returns a fencing token of this owner. Higher than all tokens of earlier owners,
	 * and not higher than the epoch, so that it is lower than those of later owners.
	 * @param generation how often the token was raised
	 * @return the fencing token
	 */
	long fencingToken(int generation) {
		return Math.min(Math.max(1, this.epoch - TOKENS_PER_EPOCH + 1) + generation, this.epoch);
	}

	/**
	 * Returns whether the fencing token of a worker cannot be raised any more.
	 * @param generation how often it was raised
	 * @return {@code true} if another owner has to take over
	 */
	boolean isLastFencingToken(int generation) {
		return fencingToken(generation) == this.epoch;
	}

}
