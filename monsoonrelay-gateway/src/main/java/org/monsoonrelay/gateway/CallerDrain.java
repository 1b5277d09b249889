package org.monsoonrelay.gateway;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.jooby.Jooby;

/**
 * Sends callers elsewhere once the gateway is stopping, and tells when they have gone.
 * Each answer given from then on closes its connection, so that no caller writes a
 * request to a connection that the gateway is about to close. The same while the gateway
 * can serve nobody: an open connection would bring the caller's next request here.
 * Thread-safe.
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
	 * @param monotonicNanos the steady clock
	 * @param canServe whether the gateway can serve callers now
	 */
	public CallerDrain(LongSupplier monotonicNanos, BooleanSupplier canServe) {
		this.monotonicNanos = monotonicNanos;
		this.canServe = canServe;
	}

	/**
	 * Watch the requests of an application. To be called before its routes are added.
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
	 * Tell whether callers have gone.
	 * @param nanos how long no request has to have come
	 * @return {@code true} if none came for that long
	 */
	public boolean isIdleFor(long nanos) {
		return this.monotonicNanos.getAsLong() - this.lastArrivalNanos.get() >= nanos;
	}

}
