package org.monsoonrelay.logic.pool;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.monsoonrelay.logic.submission.QueueSummary;

/**
 * When the owner writes the number of waiting jobs. Invariant: before all jobs are
 * loaded, the count of the former owner remains in the table, and so does the last one
 * while the known jobs are not recent, as hosts would trust too low a count. Not
 * thread-safe: confined to the control thread.
 */
final class WaitingJobsCount {

	private final JobRegistry jobs;

	private final BooleanSupplier areJobsRecent;

	private boolean started;

	private Optional<QueueSummary> writtenSummary = Optional.empty();

	private OptionalLong writtenNanos = OptionalLong.empty();

	private OptionalLong countedNanos = OptionalLong.empty();

	WaitingJobsCount(JobRegistry jobs, BooleanSupplier areJobsRecent) {
		this.jobs = jobs;
		this.areJobsRecent = areJobsRecent;
	}

	/** Counts from now on: all jobs are loaded. */
	void start() {
		this.started = true;
	}

	/**
	 * Returns the waiting jobs by queue.
	 * @return the numbers, empty if they may be too low
	 */
	Optional<QueueSummary> summary() {
		return (this.started && this.areJobsRecent.getAsBoolean()) ? Optional.of(this.jobs.summary())
				: Optional.empty();
	}

	/**
	 * Returns whether the numbers have to be written. They are written again although
	 * they have not changed, so that the other hosts know how old they are.
	 * @param summary the numbers
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return {@code true} if so
	 */
	boolean isDue(Optional<QueueSummary> summary, long nowNanos) {
		boolean isOld = this.writtenNanos.isEmpty() || TimeUnit.NANOSECONDS
			.toMillis(nowNanos - this.writtenNanos.getAsLong()) >= OwnerLease.RENEWAL_INTERVAL_MILLIS;
		return summary.isPresent() && (isOld || !summary.equals(this.writtenSummary));
	}

	/**
	 * Records that a write is durable.
	 * @param write the write
	 * @param composedNanos monotonic time at which it was composed, nanoseconds
	 */
	void written(StateWrite write, long composedNanos) {
		this.writtenSummary = write.summary();
		if (write.summary().isPresent()) {
			this.countedNanos = OptionalLong.of(composedNanos);
		}
		if (write.isCountWritten()) {
			this.writtenNanos = this.countedNanos;
		}
	}

	/**
	 * Returns the time since the jobs were counted that wait according to the last
	 * durable write.
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return the age, milliseconds, -1 if there was no such write
	 */
	long ageMillis(long nowNanos) {
		return this.countedNanos.isEmpty() ? -1
				: TimeUnit.NANOSECONDS.toMillis(nowNanos - this.countedNanos.getAsLong());
	}

}
