package org.monsoonrelay.logic.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Reads the table on request, where many requests may come at once. Answers the load of
 * callers that all need an answer newer than their own arrival. Invariants: each request
 * completes by a read that was sent after it; reads are sent at a limited rate, however
 * many requests there are. Thread-safe; reads are sent on the given executor.
 */
public final class CoalescedReads {

	/** Minimum time between two reads, milliseconds. */
	static final long MIN_INTERVAL_MILLIS = 250;

	private final Supplier<CompletableFuture<Void>> read;

	private final ScheduledExecutorService executor;

	private final LongSupplier nanoTime;

	private CompletableFuture<Void> next;

	private long earliestNanos;

	/**
	 * Creates reads.
	 * @param read sends a read and completes once its answer has been applied
	 * @param executor a single thread
	 * @param nanoTime the monotonic clock, nanoseconds
	 */
	public CoalescedReads(Supplier<CompletableFuture<Void>> read, ScheduledExecutorService executor,
			LongSupplier nanoTime) {
		this.read = read;
		this.executor = executor;
		this.nanoTime = nanoTime;
		this.earliestNanos = nanoTime.getAsLong();
	}

	/**
	 * Request a read.
	 * @return completes once a read that is sent from now on has been applied, and fails
	 * with it
	 */
	public synchronized CompletableFuture<Void> request() {
		if (this.next == null) {
			this.next = new CompletableFuture<>();
			this.executor.schedule(this::send, Math.max(0, this.earliestNanos - this.nanoTime.getAsLong()),
					TimeUnit.NANOSECONDS);
		}
		return this.next.copy();
	}

	private void send() {
		CompletableFuture<Void> requested;
		synchronized (this) {
			requested = this.next;
			this.next = null;
			this.earliestNanos = this.nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MILLIS);
		}
		this.read.get().whenComplete((done, failure) -> {
			if (failure != null) {
				requested.completeExceptionally(failure);
			}
			else {
				requested.complete(null);
			}
		});
	}

}
