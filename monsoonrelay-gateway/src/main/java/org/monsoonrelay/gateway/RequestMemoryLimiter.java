package org.monsoonrelay.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total size of request bodies in memory, so that a flood of large bodies is
 * refused before it fills the heap. Invariant: the bytes acquired by admitted requests
 * never exceed the limit. Thread-safe.
 */
final class RequestMemoryLimiter {

	private final long limitBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	RequestMemoryLimiter(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Acquire memory for a request body, which must be released once.
	 * @param bytes size of the body
	 * @return {@code false} if the limit would be exceeded
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
