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

	private long sentNanos;

	private long waitEndNanos;

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
		this.sentNanos = this.nanoTime.getAsLong();
		this.waitEndNanos = this.sentNanos + wait.toNanos();
	}

	/**
	 * Record that the complete answer to the last call has been delivered. The table
	 * composes an empty answer at the end of the wait. Any other one may have been
	 * composed as soon as the call was sent, and held up on the way.
	 * @param empty whether there was no change
	 */
	public void answerDelivered(boolean empty) {
		boolean hasWaited = empty && this.nanoTime.getAsLong() - this.waitEndNanos >= 0;
		this.confirmedNanos = OptionalLong.of(hasWaited ? this.waitEndNanos : this.sentNanos);
	}

	/**
	 * The time as of which the known content was last confirmed.
	 * @return monotonic time, nanoseconds, empty if nothing has been confirmed yet
	 */
	public OptionalLong confirmedNanos() {
		return this.confirmedNanos;
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
