package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Counts consecutive failures of runs on one worker. After too many failures across
 * different jobs, the worker is avoided for a while; the next run then decides whether it
 * is avoided again. Failures of long-running tasks do not prolong that: none of their
 * runs succeeds, and those from before could keep a worker unused for minutes. This
 * protects jobs with few attempts from a worker on which all runs fail. Not thread-safe:
 * confined to the control thread.
 */
final class FailureStreak {

	/**
	 * Consecutive failures, of at least two jobs, after which a worker is avoided. If one
	 * run in fifty fails by the task's own error, three consecutive failures on a healthy
	 * worker occur once in 125,000 runs.
	 */
	static final int MAX_CONSECUTIVE_FAILURES = 3;

	/** How long a worker is avoided, milliseconds. */
	static final long AVOIDANCE_MILLIS = 4000;

	private static final int MIN_DISTINCT_JOBS = 2;

	private final Set<String> failedJobs = new HashSet<>();

	private int consecutiveFailures;

	private long avoidUntilNanos;

	private boolean avoided;

	private long pauseUntilNanos;

	private boolean paused;

	/**
	 * Records a failed run.
	 * @param job the id of the run's job
	 * @param isLongRunning whether the run is one of a long-running task
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if the failure causes the worker to be avoided
	 */
	boolean recordFailure(String job, boolean isLongRunning, long nowNanos) {
		this.consecutiveFailures++;
		this.failedJobs.add(job);
		boolean isStreak = this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
				&& this.failedJobs.size() >= MIN_DISTINCT_JOBS;
		if (!isStreak || (isLongRunning && isAvoidedForFailures(nowNanos))) {
			return false;
		}
		this.avoided = true;
		this.avoidUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(AVOIDANCE_MILLIS);
		return true;
	}

	/**
	 * Avoids the worker although no run has failed.
	 * @param nowNanos the current monotonic time
	 * @param millis for how long
	 */
	void pause(long nowNanos, long millis) {
		this.paused = true;
		this.pauseUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	void recordSuccess() {
		this.consecutiveFailures = 0;
		this.failedJobs.clear();
		this.avoided = false;
		this.paused = false;
	}

	boolean isAvoided(long nowNanos) {
		return isAvoidedForFailures(nowNanos) || (this.paused && nowNanos - this.pauseUntilNanos < 0);
	}

	private boolean isAvoidedForFailures(long nowNanos) {
		return this.avoided && nowNanos - this.avoidUntilNanos < 0;
	}

	int consecutiveFailures() {
		return this.consecutiveFailures;
	}

}
