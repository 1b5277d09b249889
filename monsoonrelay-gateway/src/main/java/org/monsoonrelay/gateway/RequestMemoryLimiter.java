package org.monsoonrelay.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of the requests that the gateway holds, so that a flood of large
 * bodies is refused before it fills the heap. Invariant: never more than the limitBytes.
 * Thread-safe.
 */
final class RequestMemoryLimiter {

	private final long limitBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	RequestMemoryLimiter(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Hold a request, to be released once.
	 * @param bytes its size
	 * @return {@code false} if there is no room for it
	 */
	boolean tryAcquire(long bytes) {
		if (this.usedBytes.addAndGet(bytes) <= this.limitBytes) {
			return true;
		}
		release(bytes);
		return false;
	}

	void release(long bytes) {
		this.usedBytes.addAndGet(-bytes);
	}

}
