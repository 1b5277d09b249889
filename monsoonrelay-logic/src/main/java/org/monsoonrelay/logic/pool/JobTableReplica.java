package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

import org.monsoonrelay.logic.platform.CatchUp;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.ProgressReplica;
import org.monsoonrelay.logic.submission.StoredProgress;
import org.monsoonrelay.model.submission.Submission;

/**
 * A local replica of the job tables. Every standby keeps one with a low poll rate, so
 * that jobs need not be read after a take-over. Once the progress of former owners is
 * read from the table after the take-over, all known jobs are replayed to the new owner;
 * later jobs are delivered as they arrive. Invariants: a job that was stored before the
 * take-over is delivered with the progress that a call sent after it has read, and
 * progress that arrives after the job is delivered as well; a partition that does not
 * answer delays its own jobs only; a job with an unreadable row is not delivered and its
 * runs are left as they are. Not thread-safe: confined to the control thread.
 */
public final class JobTableReplica {

	/**
	 * Poll interval of the job table at the owner, which usually learns of changes from
	 * gateways first.
	 */
	private static final Duration OWNER_POLL_INTERVAL = Duration.ofMillis(100);

	/**
	 * Poll interval of a standby: causes two calls per second and table, and leaves about
	 * twenty jobs to read at a take-over.
	 */
	private static final Duration STANDBY_POLL_INTERVAL = Duration.ofMillis(500);

	/** Instead of a number of rows if the table did not answer in time. */
	private static final int NOT_READ = -1;

	private final PartitionedTable table;

	private final ScheduledExecutorService control;

	private TableFollower submissionFeed;

	private TableFollower progressFeed;

	private final Map<String, StoredJob> unfinished = new HashMap<>();

	private final ProgressReplica progress;

	private final TakeOverProgressReader progressReader;

	// Whether the progress of all jobs was read after the take-over.
	private boolean progressRead;

	// Jobs that are delivered once their progress has been read after the take-over.
	private final Set<String> awaitingProgress = new HashSet<>();

	private final Set<String> cancelled = new HashSet<>();

	private final JobPartitions partitions = new JobPartitions();

	private final Set<String> unreadableJobs = new HashSet<>();

	private final UnreadableRows unreadable;

	private final JobFeedFreshness freshness;

	private boolean started;

	private boolean progressLoaded;

	private Optional<JobReplicaListener> owner = Optional.empty();

	private boolean replayed;

	private boolean allLoadedReported;

	private long takeOverVersion;

	/**
	 * Creates a replica that does not follow the tables yet.
	 * @param table the table
	 * @param control executor of the control thread
	 * @param unreadable records rows that cannot be read
	 * @param clock the clocks
	 */
	public JobTableReplica(PartitionedTable table, ScheduledExecutorService control, UnreadableRows unreadable,
			PoolClock clock) {
		this.table = table;
		this.control = control;
		this.unreadable = unreadable;
		this.progress = new ProgressReplica(unreadable);
		this.progressReader = new TakeOverProgressReader(table, control);
		this.freshness = new JobFeedFreshness(clock.monotonic());
	}

	/** Starts to follow the tables. Has no effect if already started. */
	public void start() {
		if (this.started) {
			return;
		}
		this.started = true;
		this.submissionFeed = new TableFollower(this.table, JobTables.JOBS, JobTables.partitions(),
				() -> this.owner.isPresent() ? OWNER_POLL_INTERVAL : STANDBY_POLL_INTERVAL, this.control,
				new SubmissionListener());
		this.progressFeed = new TableFollower(this.table, JobTables.PROGRESS, List.of(JobTables.POOL_PARTITION),
				() -> STANDBY_POLL_INTERVAL, this.control, new ProgressListener());
		this.progressFeed.start();
		this.submissionFeed.start();
	}

	/** Stops following the tables. */
	public void close() {
		if (this.started) {
			this.submissionFeed.close();
			this.progressFeed.close();
		}
	}

	boolean hasOwner() {
		return this.owner.isPresent();
	}

	/**
	 * Stops and forgets the content of the tables, unless an owner is attached.
	 * @return whether it has stopped
	 */
	boolean stopIfUnused() {
		if (!this.started || hasOwner()) {
			return false;
		}
		close();
		this.started = false;
		this.progressLoaded = false;
		this.freshness.forget();
		this.unfinished.clear();
		this.progress.clear();
		this.partitions.forget();
		List.of(this.cancelled, this.unreadableJobs).forEach(Set::clear);
		return true;
	}

	/**
	 * Attaches an owner, to which jobs are delivered from now on.
	 * @param listener the owner
	 * @param version version of the row that made it the owner
	 */
	void attach(JobReplicaListener listener, long version) {
		this.owner = Optional.of(listener);
		this.takeOverVersion = version;
		this.replayed = false;
		this.allLoadedReported = false;
		this.awaitingProgress.clear();
		this.progressRead = false;
		start();
		this.partitions.takenOver();
		catchUpSubmissions();
		if (this.progressLoaded) {
			catchUpProgress();
		}
	}

	private void catchUpSubmissions() {
		Optional<JobReplicaListener> requested = this.owner;
		this.submissionFeed.catchUp(this.takeOverVersion, (read) -> {
			if (isAttached(requested)) {
				this.partitions.caughtUp();
				requested.get().changed();
			}
		});
	}

	// The changes up to the take-over leave less to correct, but do not prove that none
	// is missing.
	private void catchUpProgress() {
		Optional<JobReplicaListener> requested = this.owner;
		this.progressFeed.catchUp(this.takeOverVersion, (caughtUp) -> this.progressReader.read(this.unfinished.keySet(),
				this.progress.size(), new Replay(requested, caughtUp)));
	}

	private boolean isAttached(Optional<JobReplicaListener> requested) {
		return requested.isPresent() && requested.equals(this.owner);
	}

	private int applyMissedProgress(List<TableRow> rows) {
		return (int) rows.stream().filter((row) -> applyProgress(row).isPresent()).count();
	}

	private Optional<StoredProgress> applyProgress(TableRow row) {
		Optional<StoredProgress> newer = this.progress.apply(row);
		newer.filter((stored) -> stored.progress().state().isFinal()).ifPresent((stored) -> {
			this.unfinished.remove(row.key());
			this.cancelled.remove(row.key());
		});
		return newer;
	}

	private void replay(JobReplicaListener listener, CatchUp read, int missedRows) {
		this.replayed = true;
		listener.progressLoaded(read, missedRows, this.unfinished.size(), this.progress.ended().size());
		this.progress.ended().forEach(listener::alreadyEnded);
		List.copyOf(this.unfinished.values()).forEach((stored) -> deliver(listener, stored));
		notifyIfAllLoaded(listener);
		listener.changed();
	}

	/**
	 * Detaches an owner. Has no effect if another owner is attached.
	 * @param listener the owner
	 */
	void detach(JobReplicaListener listener) {
		if (this.owner.filter((present) -> present == listener).isPresent()) {
			this.owner = Optional.empty();
			this.replayed = false;
		}
	}

	/**
	 * Whether the known jobs have been replayed to the owner.
	 * @return {@code true} if it can start to work
	 */
	boolean hasReplayed() {
		return this.replayed;
	}

	/**
	 * Whether all jobs of a job's partition, as of a recent time, have been delivered to
	 * the owner. A partition that was loaded long ago lacks the jobs that were stored
	 * since, if the changes cannot be read.
	 * @param job the job's id
	 * @return {@code true} if this includes the job, should it exist
	 */
	boolean isLoaded(String job) {
		boolean isRead = !this.unreadableJobs.contains(job) && !this.progress.isUnreadable(job);
		return this.replayed && isRead && !this.awaitingProgress.contains(job) && isRecent()
				&& this.partitions.isLoaded(job);
	}

	/**
	 * Whether it is known of a job if it was cancelled before the take-over.
	 * @param job the job's id
	 * @return {@code true} if its partition was read up to the take-over
	 */
	boolean isReadUpToTakeOver(String job) {
		return this.partitions.isReadUpToTakeOver(job);
	}

	/**
	 * Whether the table has confirmed recently that all of its jobs are known.
	 * @return {@code true} if the jobs may be counted
	 */
	boolean isRecent() {
		return this.freshness.isRecent();
	}

	/**
	 * Adds a job that a gateway has stored.
	 * @param submission the job
	 * @param version version of the job's row
	 */
	void jobAccepted(Submission submission, long version) {
		addJob(new StoredJob(submission, version));
		this.owner.ifPresent(JobReplicaListener::changed);
	}

	/**
	 * Applies a cancellation that a gateway has stored.
	 * @param job the job's id
	 */
	void jobCancelled(String job) {
		applyCancellation(job);
		this.owner.ifPresent(JobReplicaListener::changed);
	}

	private void addJob(StoredJob stored) {
		String id = stored.submission().id();
		this.unreadableJobs.remove(id);
		if (this.progress.isEnded(id) || this.unfinished.putIfAbsent(id, stored) != null) {
			return;
		}
		if (this.replayed) {
			deliverLater(stored);
		}
	}

	private void deliverLater(StoredJob stored) {
		if (this.progressRead || stored.version() > this.takeOverVersion) {
			this.owner.ifPresent((listener) -> deliver(listener, stored));
			return;
		}
		this.awaitingProgress.add(stored.submission().id());
		this.progressReader.readJobs(List.of(stored.submission().id()), new Delivery(this.owner, stored));
	}

	private void deliver(JobReplicaListener listener, StoredJob stored) {
		String id = stored.submission().id();
		if (this.progress.isUnreadable(id)) {
			return;
		}
		Optional<StoredProgress> saved = this.progress.progress(id);
		if (saved.filter((known) -> !known.progress().matches(stored.submission())).isPresent()) {
			this.progress.reportMismatch(id);
			return;
		}
		listener.submitted(stored.submission(), saved, stored.version());
		if (this.cancelled.contains(id)) {
			listener.cancelled(id);
		}
	}

	private void deliverLate(String id, StoredProgress late) {
		StoredJob job = this.unfinished.get(id);
		if (job != null && !late.progress().matches(job.submission())) {
			this.progress.reportMismatch(id);
			return;
		}
		this.owner.ifPresent((listener) -> listener.progressReceivedLate(id, late));
	}

	private void applyCancellation(String job) {
		if (this.progress.isEnded(job)) {
			return;
		}
		this.cancelled.add(job);
		if (this.replayed) {
			this.owner.ifPresent((listener) -> listener.cancelled(job));
		}
	}

	private void applyRowOfProgress(TableRow row) {
		boolean wasUnreadable = this.progress.isUnreadable(row.key());
		boolean isLate = this.replayed && row.version() <= this.takeOverVersion;
		Optional<StoredProgress> newer = this.applyProgress(row);
		StoredJob job = this.unfinished.get(row.key());
		if (this.replayed && newer.isPresent() && wasUnreadable && job != null) {
			this.owner.ifPresent((listener) -> this.deliver(listener, job));
		}
		if (isLate) {
			// This owner may have written the progress again without these rows.
			newer.or(() -> this.progress.readReplaced(row)).ifPresent((late) -> this.deliverLate(row.key(), late));
		}
	}

	private void notifyIfAllLoaded(JobReplicaListener listener) {
		if (this.replayed && !this.allLoadedReported && this.partitions.areAllLoaded()) {
			this.allLoadedReported = true;
			listener.allLoaded();
		}
	}

	/**
	 * Replays all jobs once their progress is read, or after a while without it. What is
	 * read after that is delivered as late progress.
	 */
	private final class Replay implements TakeOverProgressReader.Receiver {

		private final Optional<JobReplicaListener> requested;

		private final CatchUp caughtUp;

		Replay(Optional<JobReplicaListener> requested, CatchUp caughtUp) {
			this.requested = requested;
			this.caughtUp = caughtUp;
		}

		@Override
		public boolean isInterested() {
			return isAttached(this.requested);
		}

		@Override
		public void read(TakeOverProgressReader.Progress read) {
			JobTableReplica.this.progressRead |= read.whole();
			if (JobTableReplica.this.replayed) {
				read.rows().forEach(JobTableReplica.this::applyRowOfProgress);
				return;
			}
			replay(this.requested.get(), this.caughtUp, applyMissedProgress(read.rows()));
		}

		@Override
		public void overdue() {
			if (isInterested() && !JobTableReplica.this.replayed) {
				replay(this.requested.get(), this.caughtUp, NOT_READ);
			}
		}

	}

	/** Delivers a job that is learnt after the replay once its progress is read. */
	private final class Delivery implements TakeOverProgressReader.Receiver {

		private final Optional<JobReplicaListener> requested;

		private final StoredJob stored;

		Delivery(Optional<JobReplicaListener> requested, StoredJob stored) {
			this.requested = requested;
			this.stored = stored;
		}

		@Override
		public boolean isInterested() {
			return isAttached(this.requested);
		}

		@Override
		public void read(TakeOverProgressReader.Progress read) {
			if (isAwaited()) {
				applyMissedProgress(read.rows());
				overdue();
				return;
			}
			read.rows().forEach(JobTableReplica.this::applyRowOfProgress);
		}

		@Override
		public void overdue() {
			if (!isInterested() || !JobTableReplica.this.awaitingProgress.remove(id())) {
				return;
			}
			if (JobTableReplica.this.progress.isEnded(id())) {
				this.requested.get().alreadyEnded(id());
			}
			else {
				deliver(this.requested.get(), this.stored);
			}
			this.requested.get().changed();
		}

		private boolean isAwaited() {
			return JobTableReplica.this.awaitingProgress.contains(id());
		}

		private String id() {
			return this.stored.submission().id();
		}

	}

	private record StoredJob(Submission submission, long version) {

	}

	private final class SubmissionListener implements TableFollower.Listener {

		@Override
		public void snapshot(String partition, List<TableRow> rows) {
			rows.forEach(this::applyRow);
			if (JobTableReplica.this.partitions.loaded(partition) && hasOwner()) {
				catchUpSubmissions();
			}
			JobTableReplica.this.owner.ifPresent(JobTableReplica.this::notifyIfAllLoaded);
			JobTableReplica.this.owner.ifPresent(JobReplicaListener::changed);
		}

		@Override
		public void changed(List<TableRow> rows) {
			rows.forEach(this::applyRow);
			JobTableReplica.this.owner.ifPresent(JobReplicaListener::changed);
		}

		@Override
		public void historyLost() {
			JobTableReplica.this.partitions.historyLost();
			JobTableReplica.this.freshness.historyLost();
		}

		@Override
		public void onCallSent(Duration wait) {
			JobTableReplica.this.freshness.callSent(wait);
		}

		@Override
		public void onAnswerDelivered(boolean empty) {
			JobTableReplica.this.freshness.answerDelivered(empty, JobTableReplica.this.partitions.areAllLoaded());
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
			if (!JobTableReplica.this.progress.isEnded(row.key())
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
			rows.forEach(JobTableReplica.this::applyRowOfProgress);
		}

		@Override
		public void historyLost() {
			JobTableReplica.this.progressLoaded = false;
		}

	}

}
