package org.monsoonrelay.logic.rows;

import java.nio.charset.StandardCharsets;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;

/**
 * What the largest row that the table accepts means for jobs. Invariants: a job that is
 * accepted fits into its rows, whatever happens to it afterwards; to this end no more of
 * its occurrences are open at once than the row of its progress has room for, and
 * checkpoints, which only save work, are left out where they do not fit. Immutable.
 *
 * @param rowBytes largest value of a row as it is before its transport, bytes
 */
public record RowLimits(int rowBytes) {

	/** Of a deployment that names no limit. */
	public static final RowLimits DEFAULT = new RowLimits(49_152);

	public RowLimits {
		if (rowBytes < 1) {
			throw new IllegalArgumentException("not the size of a row: " + rowBytes);
		}
	}

	/**
	 * Compares a job with the limit.
	 * @param job the job
	 * @return whether it fits, and if not, how large it is
	 */
	public RowFit fit(Submission job) {
		long submitted = size(Json.write(job));
		if (submitted > this.rowBytes) {
			return new RowFit(RowFit.Cause.SUBMISSION, submitted, this.rowBytes);
		}
		long once = ProgressSize.fixed() + ProgressSize.occurrence(job);
		if (once > this.rowBytes) {
			return new RowFit(RowFit.Cause.TASKS, once, this.rowBytes);
		}
		long all = ProgressSize.fixed() + job.timetable().occurrences() * ProgressSize.occurrence(job);
		if (all > this.rowBytes && job.steps().stream().anyMatch(StepSpec::longRunning)) {
			return new RowFit(RowFit.Cause.OCCURRENCES, all, this.rowBytes);
		}
		return new RowFit(RowFit.Cause.NONE, once, this.rowBytes);
	}

	/**
	 * Returns how many occurrences of a job may be open at once. An occurrence of
	 * long-running tasks is never complete, so that these are not held back.
	 * @param job the job
	 * @return the number, at least 1
	 */
	public int openOccurrences(Submission job) {
		if (job.timetable().occurrences() == 1 || job.steps().stream().anyMatch(StepSpec::longRunning)) {
			return job.timetable().occurrences();
		}
		long fitting = (this.rowBytes - ProgressSize.fixed()) / ProgressSize.occurrence(job);
		return (int) Math.max(1, Math.min(fitting, job.timetable().occurrences()));
	}

	/**
	 * Encodes the progress of a job.
	 * @param progress the progress
	 * @return the value of its row, without checkpoints if it would be too large with
	 * them
	 */
	public String encode(JobProgress progress) {
		String whole = Json.write(progress);
		return (size(whole) <= this.rowBytes) ? whole : Json.write(progress.withoutCheckpoints());
	}

	private static long size(String value) {
		return value.getBytes(StandardCharsets.UTF_8).length;
	}

}
