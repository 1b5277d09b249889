package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Keeps a new owner from starting tasks of inherited jobs that callers may have cancelled
 * before the take-over. Invariant: a job waits for its own partition only, and not beyond
 * {@link #MAX_WAIT_MILLIS} after the take-over. Not thread-safe: confined to the control
 * thread.
 */
final class InheritedCancellations {

	/**
	 * Time after a take-over from which on jobs are started although their cancellations
	 * cannot be read, milliseconds: a partition that does not answer would stop them for
	 * good.
	 */
	static final long MAX_WAIT_MILLIS = 3000;

	private final Predicate<String> isRead;

	private final PoolClock clock;

	private final long endNanos;

	/**
	 * Creates the decision of a new owner.
	 * @param isRead determines whether the partition of a job was read up to the
	 * take-over
	 * @param clock the clocks
	 * @param takenOverNanos monotonic time of the take-over
	 */
	InheritedCancellations(Predicate<String> isRead, PoolClock clock, long takenOverNanos) {
		this.isRead = isRead;
		this.clock = clock;
		this.endNanos = takenOverNanos + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
	}

	/**
	 * Whether an inherited job may have been cancelled before the take-over.
	 * @param job the job's id
	 * @return {@code true} if its tasks have to wait
	 */
	boolean mayBeUnread(String job) {
		return this.clock.nanos() - this.endNanos < 0 && !this.isRead.test(job);
	}

}
