package org.monsoonrelay.logic.pool;

import java.util.function.LongSupplier;

/**
 * The clocks of a host. The steady one measures spans and does not count suspensions; the
 * time of day is compared with due times and deadlines only. Immutable and thread-safe.
 *
 * @param monotonic monotonic clock, nanoseconds
 * @param wall time of day, epoch milliseconds
 */
public record PoolClock(LongSupplier monotonic, LongSupplier wall) {

	/** The clocks of this process. */
	public static final PoolClock SYSTEM = new PoolClock(System::nanoTime, System::currentTimeMillis);

	/**
	 * The steady clock.
	 * @return nanoseconds
	 */
	public long nanos() {
		return this.monotonic.getAsLong();
	}

	/**
	 * The time of day.
	 * @return epoch milliseconds
	 */
	public long millis() {
		return this.wall.getAsLong();
	}

}
