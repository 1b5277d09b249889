package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
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
import org.monsoonrelay.logic.writes.FailedWrite;
import org.monsoonrelay.logic.writes.PendingWrite;
import org.monsoonrelay.logic.writes.PendingWrites;
import org.monsoonrelay.logic.writes.WriteOutcome;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Writes the progress of jobs, and their states if they change, and renews the owner
 * record in the same transaction. Invariants: every write is conditional on the version
 * of the owner record that this owner wrote last, so that nothing is written after
 * another owner has taken over; at most one write is in flight; what a write contains
 * becomes durable only if this write is known to have taken effect, by its answer or by
 * its number in the owner record; one that was not answered counts as undone only once
 * another one has taken effect, whatever its repetition is answered. A write with jobs
 * that is not answered or not accepted is followed by one without jobs, which settles it
 * and tells a table that refuses everything from rows that it refuses; these are written
 * in smaller groups. One without jobs that is not answered is repeated unchanged. No end
 * is acknowledged while the progress of its job that was to be written is in no write.
 * Not thread-safe: confined to the control thread.
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

	private final PendingWrites<StateWrite> pending = new PendingWrites<>();

	private boolean composeFailing;

	private String reportedRefusal = "";

	private OwnerRecord record;

	private OwnerRecordComposer records;

	private long version;

	private boolean inFlight;

	private boolean closed;

	private long lastSentNanos;

	// When the last durable write was composed.
	private long durableComposedNanos;

	private boolean releasing;

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
		this.version = takeOver.version();
		this.pending.start(this.record.sequence());
		this.records = new OwnerRecordComposer(takeOver, this.jobs.unresolvedStarts(), this.maxRowBytes);
		this.confirming = this.record.confirming();
		this.lastSentNanos = this.clock.nanos();
		this.lastWriteMillis = TimeUnit.NANOSECONDS.toMillis(this.lastSentNanos - takeOver.sentNanos());
	}

	/** Includes the number of waiting jobs in writes from now on. */
	void startCounting() {
		this.count.start();
	}

	/**
	 * Returns what composes the owner records.
	 * @return the composer, for the next write
	 */
	OwnerRecordComposer records() {
		return this.records;
	}

	/** Writes if there are changes to store or the row has to be renewed. */
	void flush() {
		if (this.closed) {
			return;
		}
		if (this.inFlight) {
			if (isStalled()) {
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

	private boolean isStalled() {
		return this.pending.first()
			.filter((write) -> TimeUnit.NANOSECONDS
				.toMillis(this.clock.nanos() - write.composedNanos()) > WRITE_STALL_MILLIS)
			.isPresent();
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
	 * Returns when the last durable write was composed.
	 * @return monotonic time, nanoseconds
	 */
	long durableComposedNanos() {
		return this.durableComposedNanos;
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
		PendingWrite<StateWrite> write;
		try {
			long now = this.clock.nanos();
			write = new PendingWrite<>(this.pending.nextNumber(), compose(taken, now), now);
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
		this.pending.add(write);
		send(write);
	}

	// Nothing depends on the content of a write that only settles earlier ones.
	private StateWrite compose(Map<SubmittedJob, JobRowComposer.WrittenJob> states, long now) {
		boolean isSettling = !this.pending.isEmpty();
		boolean isRelease = this.releasing && !isSettling;
		if (isRelease) {
			this.listener.releaseStarting();
		}
		List<PartitionWrite.Put> puts = isSettling ? new ArrayList<>() : this.jobRows.compose(states, now);
		OwnerRecord next = this.records.compose(this.record,
				new OwnerRecordComposer.Next(this.pending.lastNumber(), isRelease,
						this.lastWriteMillis < SLOW_WRITE_MILLIS),
				this.workers.workersToRecord(!this.jobs.unwritten().isEmpty(), now), now);
		this.confirming |= next.confirming();
		PartitionWrite write = PartitionWrite.to(JobTables.POOL_PARTITION)
			.onVersion(JobTables.OWNER, JobTables.OWNER_KEY, this.version)
			.put(JobTables.OWNER, JobTables.OWNER_KEY, Json.write(next));
		Optional<QueueSummary> summary = this.count.summary();
		boolean isCountWritten = this.count.isDue(summary, now);
		if (isCountWritten) {
			puts.add(new PartitionWrite.Put(JobTables.STATES, JobTables.SUMMARY_KEY, Json.write(summary.get())));
		}
		puts.addAll(write.puts());
		PartitionWrite whole = new PartitionWrite(write.partition(), write.conditions(), puts, List.of());
		Map<TerminationSequence, TerminationSequence.Written> ends = this.jobs.unwritten().hasWritable() ? Map.of()
				: this.workers.writtenTerminations(Set.copyOf(this.jobs.unwritten().rejected().heldBack()));
		return new StateWrite(whole, next, states, summary, isCountWritten, ends,
				this.jobs.unconfirmedLosses().lastLoss());
	}

	private void send(PendingWrite<StateWrite> write) {
		this.inFlight = true;
		long sentNanos = this.clock.nanos();
		long sentWallMillis = this.clock.millis();
		this.lastSentNanos = sentNanos;
		this.table.commit(write.write().rows()).whenComplete(ExecutorCallback.on(this.control, (commit, failure) -> {
			if (commit instanceof PartitionCommit.Committed committed) {
				this.lastWriteMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - sentNanos);
				this.lease.renewed(sentNanos, sentWallMillis);
				settle(write, committed.version(), WriteOutcome.COMMITTED);
			}
			else if (commit instanceof PartitionCommit.Conflict conflict) {
				resolveConflict(conflict.current());
			}
			else if (commit instanceof PartitionCommit.Rejected rejected) {
				handleRefusal(write, RejectedRows.Refusal.FOR_GOOD, rejected.reason());
			}
			else if (commit instanceof PartitionCommit.NotDone refused) {
				handleRefusal(write, RejectedRows.Refusal.FOR_NOW, refused.reason());
			}
			else {
				handleMissingAnswer(write);
			}
		}));
	}

	private void reportRefusal(StateWrite write, String reason) {
		if (!reason.equals(this.reportedRefusal)) {
			this.reportedRefusal = reason;
			this.refusals.writeRefused(write.failed(reason));
		}
	}

	// The rows of jobs may be the reason why there is no answer. A write without them
	// settles this one, and shows whether the table answers at all.
	private void handleMissingAnswer(PendingWrite<StateWrite> write) {
		write.attemptUnanswered();
		if (this.closed) {
			return;
		}
		if (write.write().jobs().isEmpty()) {
			this.control.schedule(() -> repeat(write), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		write.write().jobs().keySet().forEach(this.jobs::markDirty);
		composeAfterRefusal();
	}

	private void handleRefusal(PendingWrite<StateWrite> write, RejectedRows.Refusal refusal, String reason) {
		write.attemptRefused(reason);
		if (this.closed) {
			return;
		}
		if (write.mayTakeEffect()) {
			// Only this attempt had no effect.
			boolean isReplaced = refusal == RejectedRows.Refusal.FOR_GOOD && !this.pending.isFull();
			retryAfterRefusal(write, reason, isReplaced ? this::composeAfterRefusal : () -> repeat(write));
			return;
		}
		this.pending.remove(write);
		write.write().jobs().keySet().forEach(this.jobs::markDirty);
		if (!this.pending.isEmpty()) {
			retryAfterRefusal(write, reason, this::composeAfterRefusal);
			return;
		}
		RejectedRows.Cause cause = this.jobs.unwritten()
			.rejected()
			.rejected(write.write().jobIds(), refusal, this.clock.nanos());
		if (cause instanceof RejectedRows.Cause.OtherRows) {
			retryAfterRefusal(write, reason, this::composeAfterRefusal);
			return;
		}
		if (cause instanceof RejectedRows.Cause.RowsOfJob rows) {
			reportJob(write, rows, reason);
		}
		else if (refusal == RejectedRows.Refusal.FOR_GOOD) {
			this.refusals.writeRejected(write.write().failed(reason));
		}
		else {
			reportRefusal(write.write(), reason);
		}
		composeAfterRefusal();
	}

	private void reportJob(PendingWrite<StateWrite> write, RejectedRows.Cause.RowsOfJob rows, String reason) {
		if (rows.verdict() != RejectedRows.Verdict.KNOWN) {
			this.refusals.jobRejected(rows, FailedWrite.ofJob(write.write().rows(), rows.job(), reason));
		}
	}

	// The table may refuse the writes of this host only.
	private void retryAfterRefusal(PendingWrite<StateWrite> write, String reason, Runnable retry) {
		reportRefusal(write.write(), reason);
		this.listener.writesRejected();
		this.control.schedule(retry, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
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

	private void repeat(PendingWrite<StateWrite> write) {
		if (!this.closed) {
			send(write);
		}
	}

	// The time at which an earlier attempt took effect is not known, so the lease is not
	// renewed.
	private void resolveConflict(List<TableRow> current) {
		Optional<TableRow> row = current.stream()
			.filter((any) -> any.table().equals(JobTables.OWNER) && any.key().equals(JobTables.OWNER_KEY))
			.findFirst();
		Optional<PendingWrite<StateWrite>> done = row.flatMap((owner) -> this.record.ownNumber(owner.value()))
			.flatMap(this.pending::find);
		if (done.isPresent()) {
			settle(done.get(), row.get().version(), WriteOutcome.FOUND);
			return;
		}
		this.inFlight = false;
		this.closed = true;
		this.pending.all().forEach((write) -> report(write, WriteOutcome.UNKNOWN));
		this.listener.ownershipLost("the owner's row was written by another process");
	}

	private void report(PendingWrite<StateWrite> write, WriteOutcome outcome) {
		if (write.mayTakeEffect() || (write.attemptCount() > 0 && outcome == WriteOutcome.UNDONE)) {
			this.refusals.writeSettled(write, outcome, this.version);
		}
	}

	private void settle(PendingWrite<StateWrite> done, long committed, WriteOutcome outcome) {
		this.inFlight = false;
		this.version = committed;
		PendingWrite<StateWrite> first = this.pending.first().orElse(done);
		List<PendingWrite<StateWrite>> undone = this.pending.settle(done);
		report(done, outcome);
		undone.forEach((write) -> report(write, WriteOutcome.UNDONE));
		apply(done, first);
		boolean isLaterUndone = undone.stream().anyMatch((write) -> write.number() > done.number());
		if (this.releasing || isLaterUndone) {
			composeAgain();
		}
	}

	private void apply(PendingWrite<StateWrite> done, PendingWrite<StateWrite> first) {
		StateWrite write = done.write();
		this.record = write.record();
		this.confirming = this.record.confirming();
		this.durableComposedNanos = done.composedNanos();
		this.count.written(write, done.composedNanos());
		Map<String, SubmissionState> states = new HashMap<>();
		write.jobs().forEach((job, state) -> {
			job.markDurable(state.state(), state.crashRecords());
			states.put(job.id(), state.state());
		});
		this.reportedRefusal = "";
		recordAccepted(done, first);
		this.workers.markRecorded(write.record());
		write.terminations().forEach((sequence, ends) -> sequence.markDurable(ends, this.version));
		this.jobs.unconfirmedLosses().confirm(write.lastLoss());
		if (write.record().released()) {
			this.closed = true;
			this.listener.released(this.record, this.version);
			return;
		}
		this.listener.writeDurable(states, write.writtenCount(this.version));
	}

	// A write that was settled as undone counts as refused, just before the one without
	// jobs that was accepted.
	private void recordAccepted(PendingWrite<StateWrite> done, PendingWrite<StateWrite> first) {
		RejectedRows rejected = this.jobs.unwritten().rejected();
		if (done == first || first.write().jobs().isEmpty()) {
			rejected.accepted(done.write().jobIds());
			return;
		}
		RejectedRows.Cause cause = rejected.rejected(first.write().jobIds(), RejectedRows.Refusal.FOR_NOW,
				this.clock.nanos());
		rejected.acceptedWithoutJobs();
		if (cause instanceof RejectedRows.Cause.RowsOfJob rows) {
			reportJob(first, rows, "no answer");
		}
	}

}
