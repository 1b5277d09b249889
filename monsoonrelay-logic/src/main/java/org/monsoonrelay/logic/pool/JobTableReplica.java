package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.Submission;

/**
 * The jobs in the table as this process knows them. Every scheduler follows them at its
 * leisure, so that one which takes the pool over has to read but the last half second. An
 * owner is told of all jobs once the progress of earlier owners is known up to its
 * take-over, and then of each new one. Invariants: an owner hears of a job with the last
 * progress that an earlier owner made durable; a partition that does not answer holds up
 * its own jobs alone; an owner does not hear of a job of which a row cannot be read, and
 * leaves its runs alone. Not thread-safe: confined to the control thread.
 */
public final class JobTableReplica {

	/**
	 * Time in which changes gather for an owner; gateways mostly tell it of them sooner.
	 */
	private static final Duration OWNER_POLL_INTERVAL = Duration.ofMillis(100);

	/**
	 * The same for a process that stands ready: two calls a second and table, and some
	 * twenty jobs to catch up with at a take-over.
	 */
	private static final Duration STANDBY_POLL_INTERVAL = Duration.ofMillis(500);

	private final TableFollower submissionFeed;

	private final TableFollower progressFeed;

	private final Map<String, StoredJob> unfinished = new HashMap<>();

	private final Map<String, StoredProgress> progress = new HashMap<>();

	private final Set<String> ended = new HashSet<>();

	private final Set<String> cancelled = new HashSet<>();

	private final Set<String> loadedPartitions = new HashSet<>();

	/** Jobs whose row cannot be read. */
	private final Set<String> unreadableJobs = new HashSet<>();

	/** Jobs whose progress cannot be read. */
	private final Set<String> unreadableProgress = new HashSet<>();

	private final UnreadableRows unreadable;

	private boolean started;

	private boolean progressLoaded;

	private Optional<Listener> owner = Optional.empty();

	private boolean replayed;

	private boolean allLoadedReported;

	/**
	 * Create an intake.
	 * @param table the table
	 * @param control the control thread
	 * @param unreadable takes note of rows that cannot be read
	 */
	public JobTableReplica(PartitionedTable table, ScheduledExecutorService control, UnreadableRows unreadable) {
		this.unreadable = unreadable;
		this.submissionFeed = new TableFollower(table, JobTables.JOBS, JobTables.partitions(), this::pollInterval,
				control, new SubmissionListener());
		this.progressFeed = new TableFollower(table, JobTables.PROGRESS, List.of(JobTables.POOL_PARTITION),
				() -> STANDBY_POLL_INTERVAL, control, new ProgressListener());
	}

	private Duration pollInterval() {
		return this.owner.isPresent() ? OWNER_POLL_INTERVAL : STANDBY_POLL_INTERVAL;
	}

	/**
	 * Begin to follow, unless that has begun.
	 */
	public void start() {
		if (!this.started) {
			this.started = true;
			this.progressFeed.start();
			this.submissionFeed.start();
		}
	}

	/**
	 * Follow no more.
	 */
	public void close() {
		this.submissionFeed.close();
		this.progressFeed.close();
	}

	/**
	 * Tell an owner of the jobs from now on.
	 * @param listener the owner
	 */
	void attach(Listener listener) {
		this.owner = Optional.of(listener);
		this.replayed = false;
		this.allLoadedReported = false;
		start();
		this.submissionFeed.catchUp(() -> {
		});
		if (this.progressLoaded) {
			catchUpProgress();
		}
	}

	// What an earlier owner wrote before the take-over is in this answer.
	private void catchUpProgress() {
		Optional<Listener> asking = this.owner;
		this.progressFeed.catchUp(() -> {
			if (asking.isPresent() && asking.equals(this.owner) && !this.replayed) {
				replay(asking.get());
			}
		});
	}

	private void replay(Listener listener) {
		this.replayed = true;
		this.ended.forEach(listener::alreadyEnded);
		List.copyOf(this.unfinished.values()).forEach((stored) -> deliver(listener, stored));
		notifyIfAllLoaded(listener);
		listener.changed();
	}

	/**
	 * Tell an owner no more.
	 * @param listener the owner
	 */
	void detach(Listener listener) {
		if (this.owner.filter((present) -> present == listener).isPresent()) {
			this.owner = Optional.empty();
			this.replayed = false;
		}
	}

	/**
	 * Whether the owner has been told of the jobs that are known, so that work can begin.
	 * @return {@code true} if so
	 */
	boolean hasReplayed() {
		return this.replayed;
	}

	/**
	 * Whether the owner has been told of all jobs that lie in the partition of a job, and
	 * of this one if it exists.
	 * @param job the job's id
	 * @return {@code true} if so
	 */
	boolean isLoaded(String job) {
		boolean isRead = !this.unreadableJobs.contains(job) && !this.unreadableProgress.contains(job);
		return this.replayed && isRead && this.loadedPartitions.contains(JobTables.partition(job));
	}

	/**
	 * Take in a job that was stored.
	 * @param submission the job
	 * @param version the version of its row
	 */
	void jobAccepted(Submission submission, long version) {
		addJob(new StoredJob(submission, version));
		this.owner.ifPresent(Listener::changed);
	}

	/**
	 * Take in a cancellation that was stored.
	 * @param job the job's id
	 */
	void jobCancelled(String job) {
		applyCancellation(job);
		this.owner.ifPresent(Listener::changed);
	}

	private void addJob(StoredJob stored) {
		String id = stored.submission().id();
		this.unreadableJobs.remove(id);
		if (this.ended.contains(id) || this.unfinished.putIfAbsent(id, stored) != null) {
			return;
		}
		if (this.replayed) {
			this.owner.ifPresent((listener) -> deliver(listener, stored));
		}
	}

	private void deliver(Listener listener, StoredJob stored) {
		String id = stored.submission().id();
		if (this.unreadableProgress.contains(id)) {
			return;
		}
		Optional<JobProgress> saved = Optional.ofNullable(this.progress.get(id)).map(StoredProgress::progress);
		if (saved.filter((progress) -> !progress.matches(stored.submission())).isPresent()) {
			this.unreadableProgress.add(id);
			this.unreadable.report(new TableRow(JobTables.PROGRESS, JobTables.POOL_PARTITION, id, "", 0, false),
					"is not the progress of this job");
			return;
		}
		listener.submitted(stored.submission(), saved, stored.version());
		if (this.cancelled.contains(id)) {
			listener.cancelled(id);
		}
	}

	private void applyCancellation(String job) {
		if (this.ended.contains(job)) {
			return;
		}
		this.cancelled.add(job);
		if (this.replayed) {
			this.owner.ifPresent((listener) -> listener.cancelled(job));
		}
	}

	private void notifyIfAllLoaded(Listener listener) {
		if (this.replayed && !this.allLoadedReported && this.loadedPartitions.size() == JobTables.partitions().size()) {
			this.allLoadedReported = true;
			listener.allLoaded();
		}
	}

	private void deliverWithReadableProgress(String job) {
		StoredJob stored = this.unfinished.get(job);
		if (this.unreadableProgress.remove(job) && stored != null && this.replayed) {
			this.owner.ifPresent((listener) -> deliver(listener, stored));
		}
	}

	private record StoredJob(Submission submission, long version) {

	}

	private record StoredProgress(JobProgress progress, long version) {

	}

	private final class SubmissionListener implements TableFollower.Listener {

		@Override
		public void snapshot(String partition, List<TableRow> rows) {
			rows.forEach(this::applyRow);
			JobTableReplica.this.loadedPartitions.add(partition);
			JobTableReplica.this.owner.ifPresent(JobTableReplica.this::notifyIfAllLoaded);
			JobTableReplica.this.owner.ifPresent(Listener::changed);
		}

		@Override
		public void changed(List<TableRow> rows) {
			rows.forEach(this::applyRow);
			JobTableReplica.this.owner.ifPresent(Listener::changed);
		}

		@Override
		public void historyLost() {
			JobTableReplica.this.loadedPartitions.clear();
		}

		private Optional<Submission> read(TableRow row) {
			Optional<Submission> read = JobTableReplica.this.unreadable.read(row, Submission.class);
			if (read.filter((submission) -> !submission.id().equals(row.key())).isPresent()) {
				JobTableReplica.this.unreadable.report(row, "names another job");
				return Optional.empty();
			}
			return read;
		}

		private void applyRow(TableRow row) {
			if (row.deleted()) {
				return;
			}
			if (JobTables.isCancelKey(row.key())) {
				applyCancellation(JobTables.job(row.key()));
				return;
			}
			if (!JobTableReplica.this.ended.contains(row.key())
					&& !JobTableReplica.this.unfinished.containsKey(row.key())) {
				read(row).ifPresentOrElse((submission) -> addJob(new StoredJob(submission, row.version())),
						() -> JobTableReplica.this.unreadableJobs.add(row.key()));
			}
		}

	}

	private final class ProgressListener implements TableFollower.Listener {

		@Override
		public void snapshot(String partition, List<TableRow> rows) {
			changed(rows);
			JobTableReplica.this.progressLoaded = true;
			if (JobTableReplica.this.owner.isPresent() && !JobTableReplica.this.replayed) {
				catchUpProgress();
			}
		}

		@Override
		public void changed(List<TableRow> rows) {
			rows.stream().filter((row) -> !row.key().equals(JobTables.SUMMARY_KEY)).forEach(this::applyRow);
		}

		@Override
		public void historyLost() {
			JobTableReplica.this.progressLoaded = false;
		}

		private void applyRow(TableRow row) {
			JobTableReplica intake = JobTableReplica.this;
			StoredProgress known = intake.progress.get(row.key());
			boolean isOld = intake.ended.contains(row.key()) || (known != null && known.version() >= row.version());
			if (row.deleted() || isOld) {
				return;
			}
			intake.unreadable.read(row, JobProgress.class)
				.ifPresentOrElse((saved) -> applyRow(row, saved), () -> intake.unreadableProgress.add(row.key()));
		}

		private void applyRow(TableRow row, JobProgress saved) {
			JobTableReplica intake = JobTableReplica.this;
			if (!saved.state().isFinal()) {
				intake.progress.put(row.key(), new StoredProgress(saved, row.version()));
				intake.deliverWithReadableProgress(row.key());
				return;
			}
			intake.ended.add(row.key());
			intake.unfinished.remove(row.key());
			intake.progress.remove(row.key());
			intake.cancelled.remove(row.key());
			intake.unreadableProgress.remove(row.key());
		}

	}

	/** An owner, told of jobs on the control thread. */
	interface Listener {

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
		void alreadyEnded(String job);

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
		 * All jobs have been told of for the first time.
		 */
		void allLoaded();

	}

}
