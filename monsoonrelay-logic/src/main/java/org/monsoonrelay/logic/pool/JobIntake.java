package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.OnThread;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.Submission;

/**
 * Brings jobs and cancellations from the table: first what earlier owners made durable of
 * their progress, then each partition of submissions as soon as it answers, and what is
 * submitted from then on. A partition that does not answer holds up its own jobs alone.
 * Not thread-safe: confined to the control thread.
 */
final class JobIntake implements TableFollower.Listener {

	private static final System.Logger LOGGER = System.getLogger(JobIntake.class.getName());

	/** Time in which changes from the feed of jobs gather, milliseconds. */
	private static final long FEED_SPACING_MILLIS = 15;

	private static final int PAGE_ROWS = 500;

	private static final long RETRY_MILLIS = 100;

	private final PartitionedTable table;

	private final ScheduledExecutorService control;

	private final Listener listener;

	private final TableFollower follower;

	private final Map<String, JobProgress> restored = new HashMap<>();

	private final Set<String> loaded = new HashSet<>();

	private boolean toldAll;

	private boolean closed;

	JobIntake(PartitionedTable table, ScheduledExecutorService control, Listener listener) {
		this.table = table;
		this.control = control;
		this.listener = listener;
		this.follower = new TableFollower(table, JobTables.JOBS, JobTables.partitions(),
				Duration.ofMillis(FEED_SPACING_MILLIS), control, this);
	}

	void start() {
		loadProgress("");
	}

	void close() {
		this.closed = true;
		this.follower.close();
	}

	/**
	 * Whether some jobs are known, so that work can begin.
	 * @return {@code true} once one partition is loaded
	 */
	boolean hasBegun() {
		return !this.loaded.isEmpty();
	}

	/**
	 * Whether all jobs that lie in the partition of a job are loaded.
	 * @param job the job's id
	 * @return {@code true} if so
	 */
	boolean isLoaded(String job) {
		return this.loaded.contains(JobTables.partition(job));
	}

	private void loadProgress(String from) {
		if (this.closed) {
			return;
		}
		this.table.read(JobTables.PROGRESS, JobTables.POOL_PARTITION, from, PAGE_ROWS)
			.whenComplete(OnThread.of(this.control, (page, failure) -> {
				if (failure != null) {
					this.control.schedule(() -> loadProgress(from), RETRY_MILLIS, TimeUnit.MILLISECONDS);
					return;
				}
				restore(page);
			}));
	}

	private void restore(TablePage page) {
		for (TableRow row : page.rows()) {
			if (!row.key().equals(JobTables.SUMMARY_KEY)) {
				read(row, JobProgress.class).ifPresent((progress) -> this.restored.put(row.key(), progress));
			}
		}
		if (page.truncated() && !page.rows().isEmpty()) {
			loadProgress(page.rows().get(page.rows().size() - 1).key() + "!");
			return;
		}
		this.follower.start();
	}

	private static <T> Optional<T> read(TableRow row, Class<T> type) {
		try {
			return Optional.of(Json.readLeniently(row.value(), type));
		}
		catch (JsonProcessingException ex) {
			LOGGER.log(System.Logger.Level.ERROR, "row {0} of {1} is not readable and left out: {2}", row.key(),
					row.table(), ex.getOriginalMessage());
			return Optional.empty();
		}
	}

	/**
	 * Take in a job that was stored, unless earlier progress is not loaded yet: then the
	 * table brings it later.
	 * @param submission the job
	 * @param version the version of its row
	 */
	void accepted(Submission submission, long version) {
		if (!hasBegun() || this.listener.isKnown(submission.id())) {
			return;
		}
		Optional<JobProgress> progress = Optional.ofNullable(this.restored.remove(submission.id()));
		this.listener.submitted(submission, progress, version);
		this.listener.changed();
	}

	/**
	 * Take in a cancellation that was stored.
	 * @param job the job's id
	 */
	void cancelled(String job) {
		if (hasBegun()) {
			this.listener.cancelled(job);
			this.listener.changed();
		}
	}

	@Override
	public void snapshot(String partition, List<TableRow> rows) {
		rows.forEach(this::take);
		this.loaded.add(partition);
		if (!this.toldAll && this.loaded.size() == JobTables.partitions().size()) {
			this.toldAll = true;
			this.listener.loadedAll();
		}
		this.listener.changed();
	}

	@Override
	public void changed(List<TableRow> rows) {
		rows.forEach(this::take);
		this.listener.changed();
	}

	@Override
	public void historyLost() {
		this.loaded.clear();
	}

	private void take(TableRow row) {
		if (row.deleted()) {
			return;
		}
		if (JobTables.isCancelKey(row.key())) {
			this.listener.cancelled(JobTables.job(row.key()));
			return;
		}
		if (this.listener.isKnown(row.key())) {
			return;
		}
		Optional<JobProgress> progress = Optional.ofNullable(this.restored.remove(row.key()));
		if (progress.filter((saved) -> saved.state().isFinal()).isPresent()) {
			this.listener.endedBefore(row.key());
			return;
		}
		read(row, Submission.class)
			.ifPresent((submission) -> this.listener.submitted(submission, progress, row.version()));
	}

	/** Told of jobs, on the control thread. */
	interface Listener {

		boolean isKnown(String job);

		/**
		 * A job was submitted.
		 * @param submission the job
		 * @param progress what an earlier owner made durable, if anything
		 * @param version the version of its row
		 */
		void submitted(Submission submission, Optional<JobProgress> progress, long version);

		/**
		 * A job had ended before this owner came.
		 * @param job the job's id
		 */
		void endedBefore(String job);

		/**
		 * A caller has cancelled a job.
		 * @param job the job's id
		 */
		void cancelled(String job);

		/**
		 * Some jobs were told of.
		 */
		void changed();

		/**
		 * All partitions have been loaded for the first time.
		 */
		void loadedAll();

	}

}
