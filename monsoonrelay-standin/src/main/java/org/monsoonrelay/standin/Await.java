package org.monsoonrelay.standin;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Waits for a condition in another process, with a limit. Stateless and thread-safe.
 */
public final class Await {

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private Await() {
	}

	/**
	 * Wait until a condition holds.
	 * @param what what is awaited, for the failure's message
	 * @param condition the condition
	 * @throws IllegalStateException if it does not hold within the limit
	 */
	public static void until(String what, BooleanSupplier condition) {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end > 0) {
				throw new IllegalStateException("not within " + LIMIT.toSeconds() + " s: " + what);
			}
			LockSupport.parkNanos(PAUSE_NANOS);
		}
	}

}
