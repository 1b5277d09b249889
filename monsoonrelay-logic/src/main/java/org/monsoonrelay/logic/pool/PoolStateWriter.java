package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.monsoonrelay.logic.platform.ExecutorCallback;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Writes the progress of jobs, and their states if they change, and renews the owner
 * record in the same transaction. Invariants: every write is conditional on the version
 * of the owner record that this owner wrote last, so that nothing is written after
 * another owner has taken over; at most one write is in flight; a write whose outcome is
 * unknown is retried unchanged until the outcome is known; one that the table does not
 * accept is followed by one without jobs, which tells a table that refuses everything
 * from rows that it refuses, and these are written in smaller groups; no end is
 * acknowledged while the progress of its job that was to be written is in no write. Not
 * thread-safe: confined to the control thread.
 */
final class PoolStateWriter {

	/**
	 * Minimum interval between the start of two writes, milliseconds. Lets tasks that end
	 * at about the same time share a write.
	 */
	private static final long MIN_WRITE_INTERVAL_MILLIS = 20;

	/**
	 * Time after which a write without effect shows that another host should own the
	 * pool, milliseconds. A slow table takes up to 900 ms.
	 */
	private static final long WRITE_STALL_MILLIS = 1000;

	/**
	 * Duration of a write from which on new jobs are started without waiting for a
	 * confirming write, milliseconds. A write usually takes 12 ms, less than the
	 * eligibility requests of a job, but 560 ms if the table answers sixty times as
	 * slowly.
	 */
	private static final long SLOW_WRITE_MILLIS = 60;

	/** Delay before a write without effect is retried, milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 60;

	private final PartitionedTable table;

	private final ScheduledExecutorService control;

	private final OwnerLease lease;

	private final JobRegistry jobs;

	private final WorkerPool workers;

	private final PoolClock clock;

	private final WaitingJobsCount count;

	private final StateWriteListener listener;

	private final WriteRefusalListener refusals;

	private final JobRowComposer jobRows;

	private final int maxRowBytes;

	private boolean composeFailing;

	private String reportedRefusal = "";

	private OwnerRecord record;

	private long formerLeaseEndNanos;

	private long version;

	private boolean inFlight;

	private boolean closed;

	private long lastSentNanos;

	private long composedNanos;

	private boolean releasing;

	private List<String> standbys;

	private HostSize largest;

	private boolean confirming;

	private long lastWriteMillis;

	PoolStateWriter(PartitionedTable table, ScheduledExecutorService control, OwnerLease term, JobRegistry jobs,
			WorkerPool workers, PoolClock clock, BooleanSupplier areJobsRecent, StateWriteListener listener,
			WriteRefusalListener refusals, int maxRowBytes) {
		this(table, control, term, jobs, workers, clock, areJobsRecent, listener, refusals,
				new JobRowComposer(jobs, listener, SubmittedJob::toProgress, maxRowBytes), maxRowBytes);
	}

	PoolStateWriter(PartitionedTable table, ScheduledExecutorService control, OwnerLease term, JobRegistry jobs,
			WorkerPool workers, PoolClock clock, BooleanSupplier areJobsRecent, StateWriteListener listener,
			WriteRefusalListener refusals, JobRowComposer jobRows, int maxRowBytes) {
		this.table = table;
		this.control = control;
		this.lease = term;
		this.jobs = jobs;
		this.workers = workers;
		this.clock = clock;
		this.count = new WaitingJobsCount(jobs, areJobsRecent);
		this.listener = listener;
		this.refusals = refusals;
		this.jobRows = jobRows;
		this.maxRowBytes = maxRowBytes;
	}

	/**
	 * Initializes this writer with the row that made this process the owner.
	 * @param takeOver how this process became the owner
	 */
	void start(TakeOver takeOver) {
		this.record = takeOver.record();
		this.formerLeaseEndNanos = takeOver.formerLeaseEndNanos();
		this.version = takeOver.version();
		this.standbys = this.record.standbys();
		this.largest = this.record.largest();
		this.confirming = this.record.confirming();
		this.lastSentNanos = this.clock.nanos();
		this.lastWriteMillis = TimeUnit.NANOSECONDS.toMillis(this.lastSentNanos - takeOver.sentNanos());
	}

	/** Includes the number of waiting jobs in writes from now on. */
	void startCounting() {
		this.count.start();
	}

	/**
	 * Sets the standbys for the next write of the owner record.
	 * @param hosts names of the standby hosts
	 * @param largestHost size of the largest host
	 */
	void setStandbys(List<String> hosts, HostSize largestHost) {
		this.standbys = List.copyOf(hosts);
		this.largest = largestHost;
	}

	/** Writes if there are changes to store or the row has to be renewed. */
	void flush() {
		if (this.closed) {
			return;
		}
		if (this.inFlight) {
			if (TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - this.composedNanos) > WRITE_STALL_MILLIS) {
				this.listener.writesRejected();
			}
			return;
		}
		long sinceLast = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - this.lastSentNanos);
		boolean hasChanges = this.jobRows.hasChanges(this.clock.nanos()) || this.jobs.hasDeferred()
				|| !this.jobs.unconfirmedLosses().isEmpty() || this.workers.hasUnrecordedWorkers()
				|| this.jobs.unresolvedStarts().needsRecording(this.clock.nanos());
		boolean isDue = sinceLast >= OwnerLease.RENEWAL_INTERVAL_MILLIS
				|| (hasChanges && sinceLast >= MIN_WRITE_INTERVAL_MILLIS);
		if (isDue) {
			composeAndSend();
		}
	}

	/**
	 * Releases the pool with the next write; the owner continues until that is sent.
	 */
	void release() {
		this.releasing = true;
		if (!this.inFlight && !this.closed) {
			composeAndSend();
		}
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Whether this process is known to have been the owner after a job was stored. Not
	 * required if the last written row states that the owner starts younger jobs as well.
	 * @param jobVersion version of the job's row
	 * @return {@code false} if the job has to wait for the next write
	 */
	boolean isConfirmed(long jobVersion) {
		return !this.confirming || jobVersion < this.version;
	}

	/**
	 * Returns the version of the owner record that this owner wrote last.
	 * @return the version
	 */
	long version() {
		return this.version;
	}

	/**
	 * Returns when the last write was composed.
	 * @return monotonic time, nanoseconds
	 */
	long composedNanos() {
		return this.composedNanos;
	}

	/**
	 * Returns the time since the jobs were counted that wait according to the last
	 * durable write.
	 * @return the age, milliseconds, -1 if there was no such write
	 */
	long countAgeMillis() {
		return this.count.ageMillis(this.clock.nanos());
	}

	// What was taken is written next time if the write as a whole cannot be composed.
	private void composeAndSend() {
		Map<SubmittedJob, JobRowComposer.WrittenJob> taken = new LinkedHashMap<>();
		StateWrite write;
		try {
			write = compose(taken);
		}
		catch (RuntimeException ex) {
			taken.keySet().forEach(this.jobs::markDirty);
			if (!this.composeFailing) {
				this.composeFailing = true;
				this.listener.writeNotComposed("", ex);
			}
			return;
		}
		this.composeFailing = false;
		send(write);
	}

	private StateWrite compose(Map<SubmittedJob, JobRowComposer.WrittenJob> states) {
		this.composedNanos = this.clock.nanos();
		if (this.releasing) {
			this.listener.releaseStarting();
		}
		List<PartitionWrite.Put> puts = this.jobRows.compose(states, this.composedNanos);
		OwnerRecord next = nextRecordWithin(
				this.workers.workersToRecord(!this.jobs.unwritten().isEmpty(), this.composedNanos));
		this.confirming = this.record.confirming() || next.confirming();
		PartitionWrite write = PartitionWrite.to(JobTables.POOL_PARTITION)
			.onVersion(JobTables.OWNER, JobTables.OWNER_KEY, this.version)
			.put(JobTables.OWNER, JobTables.OWNER_KEY, Json.write(next));
		Optional<QueueSummary> summary = this.count.summary();
		boolean isCountWritten = this.count.isDue(summary, this.composedNanos);
		if (isCountWritten) {
			puts.add(new PartitionWrite.Put(JobTables.STATES, JobTables.SUMMARY_KEY, Json.write(summary.get())));
		}
		puts.addAll(write.puts());
		PartitionWrite whole = new PartitionWrite(write.partition(), write.conditions(), puts, List.of());
		Map<TerminationSequence, Long> ends = this.jobs.unwritten().hasWritable() ? Map.of()
				: this.workers.beginWrite(Set.copyOf(this.jobs.unwritten().rejected().heldBack()));
		return new StateWrite(whole, next, states, summary, isCountWritten, ends,
				this.jobs.unconfirmedLosses().lastLoss());
	}

	private OwnerRecord nextRecordWithin(WorkerPool.RecordedWorkers named) {
		OwnerRecord next = nextRecord(named);
		boolean fits = named.closedWorkers().isEmpty() || Json.write(next).length() <= this.maxRowBytes;
		return fits ? next : nextRecord(named.withoutTasks());
	}

	private OwnerRecord nextRecord(WorkerPool.RecordedWorkers named) {
		return new OwnerRecord(this.record.holder(), this.record.host(), this.record.epoch(),
				this.record.sequence() + 1, this.releasing, named.workers(), named.closedWorkers(), this.largest,
				this.standbys, this.lastWriteMillis < SLOW_WRITE_MILLIS, true, named.incarnations(),
				this.jobs.unresolvedStarts().toRecord(this.composedNanos), named.silentWorkers(),
				this.jobs.unresolvedStarts().expiriesToRecord(this.composedNanos), formerLeaseMillis(),
				this.record.address());
	}

	private long formerLeaseMillis() {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.formerLeaseEndNanos - this.composedNanos) + 1);
	}

	private void send(StateWrite write) {
		this.inFlight = true;
		long sentNanos = this.clock.nanos();
		long sentWallMillis = this.clock.millis();
		this.lastSentNanos = sentNanos;
		this.table.commit(write.rows()).whenComplete(ExecutorCallback.on(this.control, (commit, failure) -> {
			if (commit instanceof PartitionCommit.Committed committed) {
				writeCommitted(write, committed.version(), sentNanos, sentWallMillis);
			}
			else if (commit instanceof PartitionCommit.Conflict conflict) {
				resolveConflict(write, conflict.current());
			}
			else if (commit instanceof PartitionCommit.Rejected rejected) {
				handleRejection(write, RejectedRows.Refusal.FOR_GOOD, rejected.reason());
			}
			else if (commit instanceof PartitionCommit.NotDone refused) {
				handleRejection(write, RejectedRows.Refusal.FOR_NOW, refused.reason());
			}
			else {
				this.control.schedule(() -> retry(write), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}));
	}

	private void reportRefusal(StateWrite write, String reason) {
		if (!reason.equals(this.reportedRefusal)) {
			this.reportedRefusal = reason;
			this.refusals.writeRefused(write.failed(reason));
		}
	}

	// Nothing of the write has taken effect, so that the next one may differ from it.
	private void handleRejection(StateWrite write, RejectedRows.Refusal refusal, String reason) {
		if (this.closed) {
			return;
		}
		write.jobs().keySet().forEach(this.jobs::markDirty);
		RejectedRows.Cause cause = this.jobs.unwritten()
			.rejected()
			.rejected(write.jobIds(), refusal, this.clock.nanos());
		if (cause instanceof RejectedRows.Cause.OtherRows) {
			reportRefusal(write, reason);
			this.listener.writesRejected();
			this.control.schedule(this::composeAfterRefusal, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		if (cause instanceof RejectedRows.Cause.RowsOfJob rows) {
			if (rows.verdict() != RejectedRows.Verdict.KNOWN) {
				this.refusals.jobRejected(rows, FailedWrite.ofJob(write.rows(), rows.job(), reason));
			}
		}
		else if (refusal == RejectedRows.Refusal.FOR_GOOD) {
			this.refusals.writeRejected(write.failed(reason));
		}
		else {
			reportRefusal(write, reason);
		}
		composeAfterRefusal();
	}

	private void composeAfterRefusal() {
		this.inFlight = false;
		composeAgain();
	}

	private void composeAgain() {
		if (!this.closed && !this.inFlight) {
			composeAndSend();
		}
	}

	private void retry(StateWrite write) {
		if (!this.closed) {
			send(write);
		}
	}

	private void resolveConflict(StateWrite write, List<TableRow> current) {
		for (TableRow row : current) {
			boolean isOwnRow = row.table().equals(JobTables.OWNER) && row.key().equals(JobTables.OWNER_KEY);
			if (isOwnRow && row.value().equals(Json.write(write.record()))) {
				// An earlier attempt took effect. The time is not known, so the lease is
				// not renewed.
				this.version = row.version();
				apply(write);
				return;
			}
		}
		this.inFlight = false;
		this.closed = true;
		this.listener.ownershipLost("the owner's row was written by another process");
	}

	private void writeCommitted(StateWrite write, long committed, long sentNanos, long sentWallMillis) {
		this.version = committed;
		this.lastWriteMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - sentNanos);
		this.lease.renewed(sentNanos, sentWallMillis);
		apply(write);
	}

	private void apply(StateWrite write) {
		this.inFlight = false;
		this.record = write.record();
		this.confirming = this.record.confirming();
		this.count.written(write, this.composedNanos);
		Map<String, SubmissionState> states = new HashMap<>();
		write.jobs().forEach((job, state) -> {
			job.markDurable(state.state(), state.crashRecords());
			states.put(job.id(), state.state());
		});
		this.reportedRefusal = "";
		this.jobs.unwritten().rejected().accepted(write.jobIds());
		this.workers.markRecorded(write.record());
		write.terminations().forEach((sequence, processed) -> sequence.markDurable(processed, this.version));
		this.jobs.unconfirmedLosses().confirm(write.lastLoss());
		if (write.record().released()) {
			this.closed = true;
			this.listener.released(this.record, this.version);
			return;
		}
		this.listener.writeDurable(states, write.writtenCount(this.version));
		if (this.releasing) {
			composeAgain();
		}
	}

}
