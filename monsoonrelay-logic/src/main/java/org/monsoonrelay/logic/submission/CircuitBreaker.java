package org.monsoonrelay.logic.submission;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Whether a way to the table counts as down: so many tries in a row have failed that
 * further ones would only make callers wait. While it counts as down, one try in
 * {@link #PROBE_MILLIS} finds out. Thread-safe.
 */
final class CircuitBreaker {

	/** Time between two tries while the way counts as down, milliseconds. */
	private static final long PROBE_MILLIS = 250;

	private final int limit;

	private final LongSupplier nanoTime;

	private int failures;

	private long lastTryNanos;

	/**
	 * Create the watch of a way.
	 * @param limit failures in a row after which it counts as down
	 * @param nanoTime the steady clock
	 */
	CircuitBreaker(int limit, LongSupplier nanoTime) {
		this.limit = limit;
		this.nanoTime = nanoTime;
	}

	/**
	 * Whether to leave the way alone now.
	 * @return {@code true} if it counts as down and was tried just now
	 */
	synchronized boolean isOpen() {
		return this.failures >= this.limit
				&& this.nanoTime.getAsLong() - this.lastTryNanos < TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS);
	}

	synchronized void recordAttempt() {
		this.lastTryNanos = this.nanoTime.getAsLong();
	}

	synchronized void recordSuccess() {
		this.failures = 0;
	}

	/**
	 * Note a failure.
	 * @return whether the way counts as down now
	 */
	synchronized boolean recordFailure() {
		this.failures++;
		return this.failures >= this.limit;
	}

}
