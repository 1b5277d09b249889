package org.monsoonrelay.logic.submission;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.rows.ProgressRow;
import org.monsoonrelay.model.submission.JobProgress;

/**
 * A local replica of the table of progress. Invariants: a row never replaces a newer one;
 * a job that has ended stays so, and only its id is kept. Not thread-safe: confined to
 * the control thread.
 */
public final class ProgressReplica {

	private final UnreadableRows unreadable;

	private final Map<String, StoredProgress> unfinished = new HashMap<>();

	private final Set<String> ended = new HashSet<>();

	private final Set<String> unreadableJobs = new HashSet<>();

	/**
	 * Creates an empty replica.
	 * @param unreadable records rows that cannot be read
	 */
	public ProgressReplica(UnreadableRows unreadable) {
		this.unreadable = unreadable;
	}

	/**
	 * Applies a row. Rows that are not newer than the known one have no effect.
	 * @param row the row
	 * @return the progress that was not known before, empty if there is none
	 */
	public Optional<StoredProgress> apply(TableRow row) {
		StoredProgress known = this.unfinished.get(row.key());
		boolean isOld = this.ended.contains(row.key()) || (known != null && known.version() >= row.version());
		// Earlier releases wrote the summary of queues into this table.
		if (row.deleted() || isOld || row.key().equals(JobTables.SUMMARY_KEY)) {
			return Optional.empty();
		}
		Optional<JobProgress> saved = read(row);
		if (saved.isEmpty()) {
			this.unreadableJobs.add(row.key());
			return Optional.empty();
		}
		StoredProgress stored = new StoredProgress(saved.get(), row.version());
		this.unreadableJobs.remove(row.key());
		if (stored.progress().state().isFinal()) {
			this.ended.add(row.key());
			this.unfinished.remove(row.key());
		}
		else {
			this.unfinished.put(row.key(), stored);
		}
		return Optional.of(stored);
	}

	private Optional<JobProgress> read(TableRow row) {
		return this.unreadable.read(row, ProgressRow.class).map(ProgressRow::progress);
	}

	/**
	 * Reads a row that a newer one has replaced.
	 * @param row the row
	 * @return its progress, empty if the job has ended or if it is the newest row
	 */
	public Optional<StoredProgress> readReplaced(TableRow row) {
		return progress(row.key()).filter((known) -> known.version() > row.version() && !row.deleted())
			.flatMap((known) -> read(row))
			.map((saved) -> new StoredProgress(saved, row.version()));
	}

	/**
	 * The progress of a job that has not ended.
	 * @param job the job's id
	 * @return the progress, empty if there is none
	 */
	public Optional<StoredProgress> progress(String job) {
		return Optional.ofNullable(this.unfinished.get(job));
	}

	/**
	 * Whether a job has ended.
	 * @param job the job's id
	 * @return {@code true} if its row says so
	 */
	public boolean isEnded(String job) {
		return this.ended.contains(job);
	}

	/**
	 * The jobs that have ended.
	 * @return their ids
	 */
	public Set<String> ended() {
		return Collections.unmodifiableSet(this.ended);
	}

	/**
	 * Whether the newest row of a job could not be read.
	 * @param job the job's id
	 * @return {@code true} if its progress is uncertain
	 */
	public boolean isUnreadable(String job) {
		return this.unreadableJobs.contains(job);
	}

	/**
	 * Reports that the row of a job holds the progress of another one.
	 * @param job the job's id
	 */
	public void reportMismatch(String job) {
		this.unreadableJobs.add(job);
		this.unreadable.report(new TableRow(JobTables.PROGRESS, JobTables.POOL_PARTITION, job, "", 0, false),
				"is not the progress of this job");
	}

	/**
	 * The number of jobs with progress.
	 * @return the number of rows that are known
	 */
	public int size() {
		return this.unfinished.size() + this.ended.size();
	}

	/** Forgets all rows. */
	public void clear() {
		this.unfinished.clear();
		this.ended.clear();
		this.unreadableJobs.clear();
	}

}
