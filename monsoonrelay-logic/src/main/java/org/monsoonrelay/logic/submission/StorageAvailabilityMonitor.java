package org.monsoonrelay.logic.submission;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * Whether this host can store jobs now, through the table itself or through the owner of
 * the pool. While neither has been heard of, the table is asked with small reads, so that
 * no caller's job is the one that finds out: a write without an answer leaves its caller
 * without a certain one. Answers the load of a failure domain that is cut off, whose
 * callers are best sent elsewhere at once: the platform needs up to two seconds more, and
 * a job has three. Invariant: a host that hears answers counts as able, however slow they
 * are. Thread-safe.
 */
public final class StorageAvailabilityMonitor {

	/**
	 * Silence after which the table is asked, milliseconds: three heartbeats of the
	 * owner.
	 */
	static final long SILENCE_MILLIS = 300;

	/** Time between two questions, milliseconds. */
	static final long PROBE_INTERVAL_MILLIS = 250;

	/**
	 * How long a question may stay unanswered, milliseconds. A read takes 4 ms, and 240
	 * ms while the table is sixty times as slow.
	 */
	static final long PROBE_TIMEOUT_MILLIS = 600;

	/** Questions in a row that fail at once after which the table counts as away. */
	static final int MAX_FAILED_PROBES = 2;

	private static final String NAME = "storing jobs";

	private final Runnable question;

	private final LongSupplier nanoTime;

	private final DecisionLog log;

	private long heardNanos;

	private long askedNanos;

	private long firstAskedNanos;

	private boolean asking;

	private int failed;

	private boolean able = true;

	private long unableNanos;

	/**
	 * Create a watch. Until it first hears of the table it counts as able.
	 * @param question asks the table something small; what comes of it is told to
	 * {@link #recordResponse()} or {@link #recordFailedProbe()}
	 * @param nanoTime the steady clock
	 * @param log takes changes
	 */
	public StorageAvailabilityMonitor(Runnable question, LongSupplier nanoTime, DecisionLog log) {
		this.question = question;
		this.nanoTime = nanoTime;
		this.log = log;
		this.heardNanos = nanoTime.getAsLong();
	}

	/**
	 * Note an answer of the table, or that the owner's writes to it go on.
	 */
	public synchronized void recordResponse() {
		this.heardNanos = this.nanoTime.getAsLong();
		this.asking = false;
		this.failed = 0;
		if (!this.able) {
			this.able = true;
			this.log.write(new ProcessDecision.DependencyBack(NAME,
					TimeUnit.NANOSECONDS.toMillis(this.heardNanos - this.unableNanos)));
		}
	}

	/**
	 * Note that a question was turned down or broken off.
	 */
	public synchronized void recordFailedProbe() {
		this.failed++;
		judge();
	}

	/**
	 * Ask if need be. To be called every few milliseconds.
	 */
	public void probeIfDue() {
		if (isQuestionDue()) {
			this.question.run();
		}
	}

	private synchronized boolean isQuestionDue() {
		long now = this.nanoTime.getAsLong();
		judge();
		boolean isDue = isOlder(this.heardNanos, SILENCE_MILLIS, now)
				&& (!this.asking || isOlder(this.askedNanos, PROBE_INTERVAL_MILLIS, now));
		if (isDue) {
			this.askedNanos = now;
			this.firstAskedNanos = this.asking ? this.firstAskedNanos : now;
			this.asking = true;
		}
		return isDue;
	}

	private void judge() {
		boolean isSilent = this.asking
				&& isOlder(this.firstAskedNanos, PROBE_TIMEOUT_MILLIS, this.nanoTime.getAsLong());
		if (this.able && (isSilent || this.failed >= MAX_FAILED_PROBES)) {
			this.able = false;
			this.unableNanos = this.nanoTime.getAsLong();
			this.log.write(new ProcessDecision.DependencyLost(NAME,
					isSilent ? "the table does not answer and the owner of " + "the pool is not heard to write"
							: "the table turns reads down"));
		}
	}

	private static boolean isOlder(long nanos, long millis, long now) {
		return now - nanos > TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Whether jobs can be stored from this host.
	 * @return {@code false} if trying would only make callers wait
	 */
	public synchronized boolean isAvailable() {
		return this.able;
	}

}
