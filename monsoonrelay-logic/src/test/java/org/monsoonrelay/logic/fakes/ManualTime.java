package org.monsoonrelay.logic.fakes;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Wall clock and monotonic clock of one process, advanced by the test. Not thread-safe.
 */
public final class ManualTime implements InstantSource {

	private Instant now;

	private long nanos;

	public ManualTime(Instant start) {
		this.now = start;
	}

	@Override
	public Instant instant() {
		return this.now;
	}

	/**
	 * The monotonic clock.
	 * @return nanoseconds since the start
	 */
	public long nanos() {
		return this.nanos;
	}

	/**
	 * Advance both clocks.
	 * @param time the duration
	 */
	public void advance(Duration time) {
		this.now = this.now.plus(time);
		this.nanos += time.toNanos();
	}

	/**
	 * Set the wall clock without changing the monotonic clock.
	 * @param instant the new time
	 */
	public void setWallClock(Instant instant) {
		this.now = instant;
	}

}
