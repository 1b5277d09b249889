package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Whether runs of different jobs fail on a worker one after the other. Such a worker gets
 * no work for a while, then one trial decides. Guards jobs with few attempts against a
 * worker that fails all that it starts. Not thread-safe: confined to the control thread.
 */
final class FailureStreak {

	/**
	 * Failed runs in a row, of at least two jobs, after which a worker is avoided. At one
	 * failed run in fifty by the tasks' own fault, three in a row are an accident once in
	 * 125,000 runs.
	 */
	static final int MAX_CONSECUTIVE_FAILURES = 3;

	/** How long a worker is avoided, milliseconds. */
	static final long AVOIDANCE_MILLIS = 4000;

	private static final int MIN_DISTINCT_JOBS = 2;

	private final Set<String> failedJobs = new HashSet<>();

	private int consecutiveFailures;

	private long avoidUntilNanos;

	private boolean avoided;

	/**
	 * Count a failed run.
	 * @param job the run's job
	 * @param nowNanos the current time
	 * @return {@code true} if the worker is avoided from now on
	 */
	boolean recordFailure(String job, long nowNanos) {
		this.consecutiveFailures++;
		this.failedJobs.add(job);
		if (this.consecutiveFailures < MAX_CONSECUTIVE_FAILURES || this.failedJobs.size() < MIN_DISTINCT_JOBS) {
			return false;
		}
		avoid(nowNanos, AVOIDANCE_MILLIS);
		return true;
	}

	void avoid(long nowNanos, long millis) {
		this.avoided = true;
		this.avoidUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	void recordSuccess() {
		this.consecutiveFailures = 0;
		this.failedJobs.clear();
		this.avoided = false;
	}

	boolean isAvoided(long nowNanos) {
		return this.avoided && nowNanos - this.avoidUntilNanos < 0;
	}

	int consecutiveFailures() {
		return this.consecutiveFailures;
	}

}
