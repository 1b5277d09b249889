package org.monsoonrelay.logic.pool;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.rows.ProgressRow;
import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.logic.submission.JobStateRow;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Composes the rows of jobs for a write of the owner. Invariants: a job whose rows cannot
 * be composed, or are rejected by the table, does not keep other jobs from being written;
 * a job that is left out stays among the jobs to be written. Not thread-safe: confined to
 * the control thread.
 */
final class JobRowComposer {

	/**
	 * Maximum number of rows of jobs per write, two a job if its state changes; a
	 * transaction accepts 100 entries.
	 */
	private static final int MAX_JOB_ROWS_PER_WRITE = 90;

	/**
	 * Size of the progress from which on a write takes no further job, bytes; a
	 * transaction accepts one megabyte, in which three bytes take four.
	 */
	private static final int MAX_PROGRESS_BYTES_PER_WRITE = 500_000;

	private final JobRegistry jobs;

	private final StateWriteListener listener;

	private final Function<SubmittedJob, JobProgress> toProgress;

	// Jobs to be written whose rows could not be composed with the last write.
	private final Set<SubmittedJob> uncomposed = new HashSet<>();

	private final int maxRowBytes;

	JobRowComposer(JobRegistry jobs, StateWriteListener listener, Function<SubmittedJob, JobProgress> toProgress,
			int maxRowBytes) {
		this.maxRowBytes = maxRowBytes;
		this.jobs = jobs;
		this.listener = listener;
		this.toProgress = toProgress;
	}

	/**
	 * Returns whether the next write may contain rows that the last one could not.
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return {@code true} if it is worth a write
	 */
	boolean hasChanges(long nowNanos) {
		RejectedRows rejected = this.jobs.unwritten().rejected();
		return rejected.nextGroup(nowNanos).isPresent()
				|| this.jobs.unwritten().count() > this.uncomposed.size() + rejected.heldBack().size();
	}

	/**
	 * Takes the jobs of the next write from the jobs to be written.
	 * @param taken receives the jobs with what the rows tell of them
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return their rows
	 */
	List<PartitionWrite.Put> compose(Map<SubmittedJob, WrittenJob> taken, long nowNanos) {
		int bytes = 0;
		List<PartitionWrite.Put> puts = new ArrayList<>();
		Set<SubmittedJob> failed = new HashSet<>();
		Predicate<String> isSelected = selection(nowNanos);
		while (puts.size() < MAX_JOB_ROWS_PER_WRITE - 1 && bytes < MAX_PROGRESS_BYTES_PER_WRITE) {
			SubmittedJob job = this.jobs.unwritten().take(isSelected).orElse(null);
			if (job == null) {
				break;
			}
			try {
				List<PartitionWrite.Put> rows = rows(job, taken);
				bytes += rows.get(0).value().getBytes(StandardCharsets.UTF_8).length;
				puts.addAll(rows);
			}
			catch (RuntimeException ex) {
				failed.add(job);
				if (!this.uncomposed.contains(job)) {
					this.listener.writeNotComposed(job.id(), ex);
				}
			}
		}
		failed.forEach(this.jobs::markDirty);
		this.uncomposed.clear();
		this.uncomposed.addAll(failed);
		return puts;
	}

	private Predicate<String> selection(long nowNanos) {
		RejectedRows rejected = this.jobs.unwritten().rejected();
		Optional<Set<String>> group = rejected.nextGroup(nowNanos);
		if (group.isPresent()) {
			return group.get()::contains;
		}
		return (id) -> !this.jobs.unwritten().isHeldBack(id);
	}

	private List<PartitionWrite.Put> rows(SubmittedJob job, Map<SubmittedJob, WrittenJob> taken) {
		List<PartitionWrite.Put> rows = new ArrayList<>();
		JobProgress progress = this.toProgress.apply(job);
		String value = ProgressRow.write(progress, job.submission(), this.maxRowBytes);
		rows.add(new PartitionWrite.Put(JobTables.PROGRESS, job.id(), value));
		if (progress.state() != job.durableState()) {
			String state = Json.write(new JobStateRow(progress.state(), Map.of(), job.submission().customer()));
			rows.add(new PartitionWrite.Put(JobTables.STATES, job.id(), state));
		}
		taken.put(job, new WrittenJob(progress.state(), job.crashRecords()));
		return rows;
	}

	/**
	 * What the rows of a write tell of a job. Immutable.
	 *
	 * @param state the state
	 * @param crashRecords number of crash records
	 */
	record WrittenJob(SubmissionState state, int crashRecords) {

	}

}
