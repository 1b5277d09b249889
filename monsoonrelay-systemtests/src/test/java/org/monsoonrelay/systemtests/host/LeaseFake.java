package org.monsoonrelay.systemtests.host;

import java.util.concurrent.TimeUnit;

/**
 * The lease of a worker on its own clock, which begins with it. Invariants: it never gets
 * shorter, and no request extends it by more than {@link #MAX_MILLIS} from then. Reads
 * are safe for any thread, changes are confined to the worker's lock.
 */
final class LeaseFake {

	/** What the platform calls {@code hold_max_ms}. */
	static final long MAX_MILLIS = 10_000;

	private final long startedNanos = System.nanoTime();

	private volatile long endMillis;

	long clockMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	void extend(long askedMillis) {
		this.endMillis = Math.max(this.endMillis, Math.min(askedMillis, clockMillis() + MAX_MILLIS));
	}

	boolean holds() {
		return clockMillis() < this.endMillis;
	}

	long remainingMillis() {
		return this.endMillis - clockMillis();
	}

}
