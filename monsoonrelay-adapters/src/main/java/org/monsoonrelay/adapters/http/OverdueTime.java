package org.monsoonrelay.adapters.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * When an exchange, of which nothing else arrives, is overdue. Invariant: the time is
 * only put off, never brought forward. Thread-safe.
 */
final class OverdueTime {

	private final long intervalNanos;

	private final AtomicLong overdueNanos;

	/**
	 * Creates the time of an exchange that starts now.
	 * @param wait how long the server may hold the response back
	 * @param interval time without any bytes after which it is overdue
	 */
	OverdueTime(Duration wait, Duration interval) {
		this.intervalNanos = interval.toNanos();
		this.overdueNanos = new AtomicLong(System.nanoTime() + wait.toNanos() + this.intervalNanos);
	}

	/** Puts the time off because bytes have arrived. */
	void received() {
		this.overdueNanos.accumulateAndGet(System.nanoTime() + this.intervalNanos,
				(old, putOff) -> (putOff - old > 0) ? putOff : old);
	}

	/**
	 * How long the exchange is not overdue yet.
	 * @return the time, zero or less if it is overdue
	 */
	long remainingNanos() {
		return this.overdueNanos.get() - System.nanoTime();
	}

}
