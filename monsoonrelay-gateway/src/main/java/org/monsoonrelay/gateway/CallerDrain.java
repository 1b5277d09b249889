package org.monsoonrelay.gateway;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.jooby.Jooby;

/**
 * Drains the connections of callers when the gateway stops, and detects when no more
 * requests arrive. While the gateway is stopping, each response closes its connection, so
 * that no caller sends a request on a connection that the gateway is about to close.
 * Responses also close their connection while the gateway cannot serve callers: an open
 * connection would bring the caller's next request to this gateway. Thread-safe.
 */
public final class CallerDrain {

	private final LongSupplier monotonicNanos;

	private final AtomicLong lastArrivalNanos = new AtomicLong();

	private volatile boolean stopping;

	private final BooleanSupplier canServe;

	public CallerDrain(LongSupplier monotonicNanos) {
		this(monotonicNanos, () -> true);
	}

	/**
	 * Create a drain.
	 * @param monotonicNanos the monotonic clock, in nanoseconds
	 * @param canServe whether the gateway can serve callers now
	 */
	public CallerDrain(LongSupplier monotonicNanos, BooleanSupplier canServe) {
		this.monotonicNanos = monotonicNanos;
		this.canServe = canServe;
	}

	/**
	 * Track the requests of an application. Must be called before its routes are added.
	 * @param application the application
	 */
	public void addTo(Jooby application) {
		application.before((context) -> {
			this.lastArrivalNanos.set(this.monotonicNanos.getAsLong());
			if (this.stopping || !this.canServe.getAsBoolean()) {
				context.setResponseHeader("Connection", "close");
			}
		});
	}

	public void stop() {
		this.lastArrivalNanos.set(this.monotonicNanos.getAsLong());
		this.stopping = true;
	}

	public boolean isStopping() {
		return this.stopping;
	}

	/**
	 * Whether no request has arrived for a period of time.
	 * @param nanos length of the period, in nanoseconds
	 * @return {@code true} if no request arrived within the period
	 */
	public boolean isIdleFor(long nanos) {
		return this.monotonicNanos.getAsLong() - this.lastArrivalNanos.get() >= nanos;
	}

}
