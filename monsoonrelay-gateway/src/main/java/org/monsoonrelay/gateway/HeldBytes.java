package org.monsoonrelay.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of the requests that the gateway holds, so that a flood of large
 * bodies is refused before it fills the heap. Invariant: never more than the limit.
 * Thread-safe.
 */
final class HeldBytes {

	private final long limit;

	private final AtomicLong held = new AtomicLong();

	HeldBytes(long limit) {
		this.limit = limit;
	}

	/**
	 * Hold a request, to be released once.
	 * @param bytes its size
	 * @return {@code false} if there is no room for it
	 */
	boolean tryHold(long bytes) {
		if (this.held.addAndGet(bytes) <= this.limit) {
			return true;
		}
		release(bytes);
		return false;
	}

	void release(long bytes) {
		this.held.addAndGet(-bytes);
	}

}
