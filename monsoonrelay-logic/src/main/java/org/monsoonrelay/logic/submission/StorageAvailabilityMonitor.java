package org.monsoonrelay.logic.submission;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * Tracks whether this host can store jobs, through the table itself or through the owner
 * of the pool. After a period without a response from either, it probes the table with
 * small reads rather than with callers' writes, because a write without an answer leaves
 * its caller with an unknown outcome. While storage is unavailable, callers are refused
 * at once and can go to another host; this matters when a failure domain is cut off,
 * because the platform takes up to 2 s more to notice and a job must be accepted within 3
 * s. Invariant: a host that receives responses counts as available, however slow they
 * are. Thread-safe.
 */
public final class StorageAvailabilityMonitor {

	/**
	 * Time without a response after which the table is probed, milliseconds: three
	 * heartbeat intervals of the owner.
	 */
	static final long PROBE_AFTER_SILENCE_MILLIS = 300;

	/** Interval between probes, milliseconds. */
	static final long PROBE_INTERVAL_MILLIS = 250;

	/**
	 * Time after which an unanswered probe counts as failed, milliseconds. A read takes 4
	 * ms, and 240 ms while the table is 60 times slower than usual.
	 */
	static final long PROBE_TIMEOUT_MILLIS = 600;

	/** Consecutive rejected probes after which the table counts as unavailable. */
	static final int MAX_FAILED_PROBES = 2;

	private static final String NAME = "storing jobs";

	private final Runnable probe;

	private final LongSupplier nanoTime;

	private final DecisionLog log;

	private long lastResponseNanos;

	private long lastProbeNanos;

	private long firstProbeNanos;

	private boolean probing;

	private int failedProbes;

	private boolean available = true;

	private long unavailableSinceNanos;

	/**
	 * Create a monitor. Storage initially counts as available.
	 * @param probe starts a small read of the table; its result is reported to
	 * {@link #recordResponse()} or {@link #recordFailedProbe(long)}
	 * @param nanoTime the monotonic clock, nanoseconds
	 * @param log receives changes of the availability
	 */
	public StorageAvailabilityMonitor(Runnable probe, LongSupplier nanoTime, DecisionLog log) {
		this.probe = probe;
		this.nanoTime = nanoTime;
		this.log = log;
		this.lastResponseNanos = nanoTime.getAsLong();
	}

	/**
	 * Record a response of the table, or evidence that the owner still writes to it.
	 */
	public synchronized void recordResponse() {
		this.lastResponseNanos = this.nanoTime.getAsLong();
		this.probing = false;
		this.failedProbes = 0;
		if (!this.available) {
			this.available = true;
			this.log.write(new ProcessDecision.DependencyBack(NAME,
					TimeUnit.NANOSECONDS.toMillis(this.lastResponseNanos - this.unavailableSinceNanos)));
		}
	}

	/**
	 * Record a probe that was rejected or aborted. Ignored if a response was recorded
	 * after the probe had been sent.
	 * @param sentNanos the time at which the probe was sent, nanoseconds
	 */
	public synchronized void recordFailedProbe(long sentNanos) {
		if (sentNanos - this.lastResponseNanos < 0) {
			return;
		}
		this.failedProbes++;
		updateAvailability();
	}

	/**
	 * Probe the table if a probe is due. Intended to be called every few milliseconds.
	 */
	public void probeIfDue() {
		if (isProbeDue()) {
			this.probe.run();
		}
	}

	private synchronized boolean isProbeDue() {
		long now = this.nanoTime.getAsLong();
		updateAvailability();
		boolean isDue = isOlder(this.lastResponseNanos, PROBE_AFTER_SILENCE_MILLIS, now)
				&& (!this.probing || isOlder(this.lastProbeNanos, PROBE_INTERVAL_MILLIS, now));
		if (isDue) {
			this.lastProbeNanos = now;
			this.firstProbeNanos = this.probing ? this.firstProbeNanos : now;
			this.probing = true;
		}
		return isDue;
	}

	private void updateAvailability() {
		boolean isUnanswered = this.probing
				&& isOlder(this.firstProbeNanos, PROBE_TIMEOUT_MILLIS, this.nanoTime.getAsLong());
		if (this.available && (isUnanswered || this.failedProbes >= MAX_FAILED_PROBES)) {
			this.available = false;
			this.unavailableSinceNanos = this.nanoTime.getAsLong();
			this.log.write(new ProcessDecision.DependencyLost(NAME,
					isUnanswered ? "the table does not answer and the owner of " + "the pool is not heard to write"
							: "the table turns reads down"));
		}
	}

	private static boolean isOlder(long nanos, long millis, long now) {
		return now - nanos > TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Whether jobs can be stored from this host.
	 * @return {@code false} if writes are expected to fail or time out
	 */
	public synchronized boolean isAvailable() {
		return this.available;
	}

}
