package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tracks as of when the content of a followed table is known. Invariant: everything that
 * the table accepted until then has been delivered to the listener. The age may be read
 * from any thread; calls are recorded by one thread, one call at a time.
 */
public final class FreshnessTracker {

	private final LongSupplier nanoTime;

	private long answerDueNanos;

	private volatile OptionalLong confirmedNanos = OptionalLong.empty();

	/**
	 * Create a tracker of a table of which nothing is known yet.
	 * @param nanoTime the monotonic clock, nanoseconds
	 */
	public FreshnessTracker(LongSupplier nanoTime) {
		this.nanoTime = nanoTime;
	}

	/**
	 * Record that a call is sent whose answer contains all changes up to its composition.
	 * @param wait the longest time for which the table holds the answer back
	 */
	public void callSent(Duration wait) {
		this.answerDueNanos = this.nanoTime.getAsLong() + wait.toNanos();
	}

	/**
	 * Record that the complete answer to the last call has been delivered. An answer that
	 * arrives after it was due may have been held up on the way, and confirms only what
	 * was known when it was due.
	 */
	public void answerDelivered() {
		long now = this.nanoTime.getAsLong();
		this.confirmedNanos = OptionalLong.of((now - this.answerDueNanos > 0) ? this.answerDueNanos : now);
	}

	/**
	 * The time since the table last confirmed the known content.
	 * @return the age in milliseconds, empty if nothing has been confirmed yet
	 */
	public OptionalLong ageMillis() {
		OptionalLong confirmed = this.confirmedNanos;
		return confirmed.isEmpty() ? confirmed
				: OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(this.nanoTime.getAsLong() - confirmed.getAsLong()));
	}

}
