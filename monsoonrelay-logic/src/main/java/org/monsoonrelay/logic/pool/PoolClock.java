package org.monsoonrelay.logic.pool;

import java.util.function.LongSupplier;

/**
 * The clocks of a process. The monotonic clock measures durations and does not count
 * suspensions; the wall clock is only compared with due times and deadlines. Immutable
 * and thread-safe.
 *
 * @param monotonic monotonic clock, nanoseconds
 * @param wall wall clock, epoch milliseconds
 */
public record PoolClock(LongSupplier monotonic, LongSupplier wall) {

	/** The clocks of this process. */
	public static final PoolClock SYSTEM = new PoolClock(System::nanoTime, System::currentTimeMillis);

	/**
	 * Returns the time of the monotonic clock.
	 * @return nanoseconds
	 */
	public long nanos() {
		return this.monotonic.getAsLong();
	}

	/**
	 * Returns the time of the wall clock.
	 * @return epoch milliseconds
	 */
	public long millis() {
		return this.wall.getAsLong();
	}

}
