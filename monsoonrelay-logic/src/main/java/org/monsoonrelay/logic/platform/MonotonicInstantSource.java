package org.monsoonrelay.logic.platform;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * Time source of one process: the wall clock is read once at the start and advanced by
 * the monotonic clock. Setting the wall clock forward or back therefore moves no deadline
 * of the process. Immutable and thread-safe.
 */
public final class MonotonicInstantSource implements InstantSource {

	private final LongSupplier monotonicNanos;

	private final Instant start;

	private final long startNanos;

	public MonotonicInstantSource(InstantSource wallClock, LongSupplier monotonicNanos) {
		this.monotonicNanos = monotonicNanos;
		this.start = wallClock.instant();
		this.startNanos = monotonicNanos.getAsLong();
	}

	@Override
	public Instant instant() {
		return this.start.plusNanos(this.monotonicNanos.getAsLong() - this.startNanos);
	}

}
