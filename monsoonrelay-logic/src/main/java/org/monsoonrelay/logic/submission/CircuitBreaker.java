package org.monsoonrelay.logic.submission;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Circuit breaker for one path to the table. It opens after a number of consecutive
 * failures, so that callers do not wait for further attempts that are likely to fail.
 * While it is open, one attempt per {@link #PROBE_INTERVAL_MILLIS} is let through as a
 * probe. Thread-safe.
 */
final class CircuitBreaker {

	/** Interval between probes while the circuit is open, milliseconds. */
	private static final long PROBE_INTERVAL_MILLIS = 250;

	private final int failureLimit;

	private final LongSupplier nanoTime;

	private int consecutiveFailures;

	private long lastAttemptNanos;

	/**
	 * Create a circuit breaker.
	 * @param failureLimit consecutive failures after which the circuit opens
	 * @param nanoTime the monotonic clock, nanoseconds
	 */
	CircuitBreaker(int failureLimit, LongSupplier nanoTime) {
		this.failureLimit = failureLimit;
		this.nanoTime = nanoTime;
	}

	/**
	 * Whether attempts are to be skipped now.
	 * @return {@code true} if the failure limit is reached and no probe is due
	 */
	synchronized boolean isOpen() {
		return this.consecutiveFailures >= this.failureLimit && this.nanoTime.getAsLong()
				- this.lastAttemptNanos < TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
	}

	synchronized void recordAttempt() {
		this.lastAttemptNanos = this.nanoTime.getAsLong();
	}

	synchronized void recordSuccess() {
		this.consecutiveFailures = 0;
	}

	/**
	 * Record a failed attempt.
	 * @return whether the failure limit is reached
	 */
	synchronized boolean recordFailure() {
		this.consecutiveFailures++;
		return this.consecutiveFailures >= this.failureLimit;
	}

}
