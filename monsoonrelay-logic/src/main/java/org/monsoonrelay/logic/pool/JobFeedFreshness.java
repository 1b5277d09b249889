package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.platform.FreshnessTracker;
import org.monsoonrelay.logic.submission.WaitingJobs;

/**
 * Tracks whether the jobs are known as of a recent time. Invariant: all jobs that the
 * table accepted until then have been read, of all partitions. While partitions are
 * loaded several calls are in flight, of which only the first counts: all answers contain
 * what was accepted before it was sent. Not thread-safe: confined to the control thread.
 */
final class JobFeedFreshness {

	/**
	 * Age up to which the known jobs may be counted, milliseconds: with the age up to
	 * which hosts trust a count, {@link WaitingJobs#MAX_AGE_MILLIS}, it makes the 5 s
	 * after which a job has to be counted.
	 */
	static final long MAX_AGE_MILLIS = 1500;

	private final LongSupplier nanoTime;

	private FreshnessTracker tracker;

	private boolean loading = true;

	private boolean loadStarted;

	/**
	 * Creates a state in which no jobs are known.
	 * @param nanoTime the monotonic clock, nanoseconds
	 */
	JobFeedFreshness(LongSupplier nanoTime) {
		this.nanoTime = nanoTime;
		this.tracker = new FreshnessTracker(nanoTime);
	}

	/**
	 * Records that a call is sent.
	 * @param wait the longest time for which the table holds the answer back
	 */
	void callSent(Duration wait) {
		if (!this.loading || !this.loadStarted) {
			this.tracker.callSent(wait);
			this.loadStarted = true;
		}
	}

	/**
	 * Records that the last call was answered and the answer delivered. A poll that was
	 * sent during the load confirms no more than the load has.
	 * @param isEmpty whether there was no change
	 * @param isComplete whether all partitions are loaded
	 */
	void answerDelivered(boolean isEmpty, boolean isComplete) {
		if (isComplete) {
			this.loading = false;
			this.tracker.answerDelivered(isEmpty);
		}
	}

	/** Records that changes were missed, so that all partitions are loaded again. */
	void historyLost() {
		this.loading = true;
		this.loadStarted = false;
	}

	/** Records that the known jobs were forgotten. */
	void forget() {
		this.tracker = new FreshnessTracker(this.nanoTime);
		historyLost();
	}

	/**
	 * Whether the table has confirmed the known jobs recently.
	 * @return {@code true} if they may be counted
	 */
	boolean isRecent() {
		OptionalLong ageMillis = this.tracker.ageMillis();
		return ageMillis.isPresent() && ageMillis.getAsLong() <= MAX_AGE_MILLIS;
	}

}
