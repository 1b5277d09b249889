package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Tracks jobs that workers report before this owner has read their rows. Their task
 * results must be kept: the row may be read later, and a task whose end was dropped would
 * run a second time. Invariant: a job is awaited while its partition is not loaded as of
 * a recent time and for {@link #ROW_WAIT_MILLIS} after that, so that a task without a job
 * cannot occupy the capacity of a worker indefinitely. Not thread-safe: confined to the
 * control thread.
 */
final class UnknownJobs {

	/**
	 * Time for which the row of a job is awaited once its partition is loaded,
	 * milliseconds. The job feed delivers a row within one second, or three times that if
	 * the partition has to be loaded again from a slow table.
	 */
	static final long ROW_WAIT_MILLIS = 6000;

	private final JobRegistry jobs;

	private final Predicate<String> isLoaded;

	private final PoolClock clock;

	private final Map<String, Long> deadlines = new HashMap<>();

	UnknownJobs(JobRegistry jobs, Predicate<String> isLoaded, PoolClock clock) {
		this.jobs = jobs;
		this.isLoaded = isLoaded;
		this.clock = clock;
	}

	/**
	 * Whether reports of workers on a job are to be kept until the job is known.
	 * @param job the job's id
	 * @return {@code true} if the job is not known and its row may still be read
	 */
	boolean isAwaited(String job) {
		if (this.jobs.isKnown(job)) {
			return false;
		}
		long now = this.clock.nanos();
		long deadline = now + TimeUnit.MILLISECONDS.toNanos(ROW_WAIT_MILLIS);
		if (!this.isLoaded.test(job)) {
			this.deadlines.put(job, deadline);
			return true;
		}
		return now - this.deadlines.computeIfAbsent(job, (id) -> deadline) < 0;
	}

	/**
	 * Records that a job is known now.
	 * @param job the job's id
	 * @return {@code true} if a worker has reported it before
	 */
	boolean markKnown(String job) {
		return this.deadlines.remove(job) != null;
	}

}
