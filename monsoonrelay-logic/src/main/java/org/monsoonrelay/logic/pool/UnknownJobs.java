package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Jobs of which workers tell before this owner has read their rows. What such a job's
 * tasks did must not be passed over: the job may come with the next read, and a task
 * whose end was dropped would run a second time. Invariant: a job is awaited while its
 * partition is not loaded and for {@link #ROW_WAIT_MILLIS} more, so that a task without a
 * job cannot hold a worker's room for good. Not thread-safe: confined to the control
 * thread.
 */
final class UnknownJobs {

	/**
	 * How long the row of a job is awaited beside a loaded partition, milliseconds. The
	 * feed of jobs brings a row within one second; three times that if it has to be
	 * loaded again beside a slow table.
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
	 * Whether to keep what a worker tells of a job until the job is known.
	 * @param job the job's id
	 * @return {@code true} if the job is not known and its row may still come
	 */
	boolean isAwaited(String job) {
		if (this.jobs.isKnown(job)) {
			return false;
		}
		long now = this.clock.nanos();
		long latest = now + TimeUnit.MILLISECONDS.toNanos(ROW_WAIT_MILLIS);
		if (!this.isLoaded.test(job)) {
			this.deadlines.put(job, latest);
			return true;
		}
		return now - this.deadlines.computeIfAbsent(job, (id) -> latest) < 0;
	}

	/**
	 * Note that a job is known now.
	 * @param job the job's id
	 * @return {@code true} if a worker has told of it before
	 */
	boolean markKnown(String job) {
		return this.deadlines.remove(job) != null;
	}

}
