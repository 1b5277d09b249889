package org.monsoonrelay.logic.pool;

import java.util.function.LongSupplier;

/**
 * The clocks of a host. The steady one measures spans and does not count suspensions; the
 * time of day is compared with due times and deadlines only. Immutable and thread-safe.
 *
 * @param steady steady clock, nanoseconds
 * @param day time of day, epoch milliseconds
 */
public record PoolClock(LongSupplier steady, LongSupplier day) {

	/** The clocks of this process. */
	public static final PoolClock SYSTEM = new PoolClock(System::nanoTime, System::currentTimeMillis);

	/**
	 * The steady clock.
	 * @return nanoseconds
	 */
	public long nanos() {
		return this.steady.getAsLong();
	}

	/**
	 * The time of day.
	 * @return epoch milliseconds
	 */
	public long millis() {
		return this.day.getAsLong();
	}

}
