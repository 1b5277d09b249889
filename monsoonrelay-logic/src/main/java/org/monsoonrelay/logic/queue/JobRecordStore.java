package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.platform.WriteBudget;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.JobRecord;

/**
 * Stores the progress of jobs in the table, one row per job, by group commits of which at
 * most one is in flight. Invariants: a callback runs only after the row with the state it
 * was enqueued for is durable; the result of an unanswered commit is found out by reading
 * back; a row that another owner has changed is never overwritten. Not thread-safe:
 * confined to the control thread.
 */
public final class JobRecordStore {

	private static final int MAXIMUM_ROWS_PER_COMMIT = 64;

	private final TableService table;

	private final Executor controlExecutor;

	private final Supplier<String> writeIdSupplier;

	private final Consumer<JobId> onConflict;

	private final WriteBudget writeBudget;

	private final Map<JobId, Long> rowVersions = new HashMap<>();

	private final Set<JobId> writtenJobs = new HashSet<>();

	private final Map<JobId, PendingWrite> pendingWrites = new LinkedHashMap<>();

	private final Set<Job> inFlightJobs = new HashSet<>();

	private boolean commitInFlight;

	private boolean available = true;

	private Runnable pendingReadBack;

	private long commitCount;

	private long hostsVersion = Long.MAX_VALUE;

	public JobRecordStore(TableService table, Executor controlExecutor, Supplier<String> writeIdSupplier,
			Consumer<JobId> onConflict) {
		this(table, controlExecutor, writeIdSupplier, onConflict, WriteBudget.unlimited());
	}

	public JobRecordStore(TableService table, Executor controlExecutor, Supplier<String> writeIdSupplier,
			Consumer<JobId> onConflict, WriteBudget writeBudget) {
		this.writeBudget = writeBudget;
		this.table = table;
		this.controlExecutor = controlExecutor;
		this.writeIdSupplier = writeIdSupplier;
		this.onConflict = onConflict;
	}

	/**
	 * Read the record of a job. Writes build on it once it is {@linkplain #adopt
	 * adopted}.
	 * @param id the job
	 * @return the record, with {@link JobRecord#NONE} if there is none
	 */
	CompletableFuture<StoredRecord> load(JobId id) {
		return this.table.read(TableKeys.job(id))
			.thenApply((row) -> new StoredRecord(
					row.map((found) -> Json.read(found.value(), JobRecord.class)).orElse(JobRecord.NONE),
					row.map(Row::version).orElse(ConditionalWrite.ABSENT)));
	}

	/**
	 * Base the next write of a job on a record.
	 * @param id the job, which is represented by the record from now on
	 * @param stored the record
	 */
	void adopt(JobId id, StoredRecord stored) {
		this.pendingWrites.remove(id);
		this.writtenJobs.remove(id);
		this.rowVersions.put(id, stored.version());
	}

	/**
	 * Enqueue a job, to be written by one of the next group commits. Ignores a retired
	 * job.
	 * @param job the job
	 * @param onDurable called once its present state is durable
	 */
	public void enqueue(Job job, Runnable onDurable) {
		if (job.isRetired()) {
			return;
		}
		this.pendingWrites.computeIfAbsent(job.id(), (id) -> new PendingWrite(job, new ArrayList<>())).callbacks
			.add(onDurable);
	}

	/**
	 * Enqueue a job unless its row has been written since it was loaded. Until then a
	 * former owner of the queue could store starts and ends unnoticed: the write
	 * conflicts if it has done so, and if not, its next write does.
	 * @param job the job
	 * @return {@code true} if the row has been written
	 */
	private boolean enqueueUnlessWritten(Job job) {
		boolean isWritten = this.writtenJobs.contains(job.id());
		if (!isWritten && !isPending(job)) {
			enqueue(job, () -> {
			});
		}
		return isWritten;
	}

	/**
	 * Check whether an event of an attempt that a former owner of the queue opened has to
	 * wait until the job's row has been written, which is enqueued if so. The former
	 * owner may have stored the start of a run-once attempt that is not open according to
	 * the loaded record; the attempt must neither be stopped nor be taken as settled.
	 * @param job the job
	 * @param event the event
	 * @return {@code true} if the event cannot be handled yet
	 */
	boolean mustWriteBefore(Job job, AttemptEvent event) {
		if (job.workload().once() && !job.openAttempts().contains(event.attempt())) {
			return !enqueueUnlessWritten(job);
		}
		if (event.kind() == AttemptEventKind.RUNNING && !job.isFinal()) {
			enqueueUnlessWritten(job);
		}
		return false;
	}

	/**
	 * Commit enqueued jobs as far as the write budget allows, unless a commit is in
	 * flight. If reading back an unanswered commit has failed, retries that instead.
	 */
	public void flush() {
		if (this.pendingReadBack != null) {
			Runnable readBack = this.pendingReadBack;
			this.pendingReadBack = null;
			readBack.run();
			return;
		}
		if (this.commitInFlight || this.pendingWrites.isEmpty()) {
			return;
		}
		int rows = Math.min(MAXIMUM_ROWS_PER_COMMIT, this.writeBudget.available());
		if (rows == 0) {
			return;
		}
		Map<JobId, PendingWrite> batch = new LinkedHashMap<>();
		this.pendingWrites.entrySet()
			.stream()
			.limit(rows)
			.forEach((entry) -> batch.put(entry.getKey(), entry.getValue()));
		this.pendingWrites.keySet().removeAll(batch.keySet());
		String writeId = this.writeIdSupplier.get();
		List<ConditionalWrite> writes = batch.values()
			.stream()
			.map((entry) -> toConditionalWrite(entry.job, writeId))
			.toList();
		this.commitInFlight = true;
		batch.values().forEach((entry) -> this.inFlightJobs.add(entry.job));
		this.commitCount++;
		this.writeBudget.spend(batch.size());
		this.table.commit(writes)
			.whenCompleteAsync((result, failure) -> handleCommitReply(batch, writeId, result, failure),
					this.controlExecutor);
	}

	private ConditionalWrite toConditionalWrite(Job job, String writeId) {
		return new ConditionalWrite(TableKeys.job(job.id()), Json.write(job.toRecord(writeId, this.hostsVersion)),
				this.rowVersions.getOrDefault(job.id(), ConditionalWrite.ABSENT));
	}

	private void handleCommitReply(Map<JobId, PendingWrite> batch, String writeId, CommitResult result,
			Throwable failure) {
		if (failure != null) {
			this.available = false;
			resolveUnansweredCommit(batch, writeId, failure);
			return;
		}
		clearInFlight();
		this.available = true;
		if (result instanceof CommitResult.Committed committed) {
			batch.forEach((id, entry) -> confirmDurable(id, entry, committed.versions().get(TableKeys.job(id))));
		}
		else if (result instanceof CommitResult.Conflict conflict) {
			batch.forEach((id, entry) -> {
				if (entry.job.isRetired()) {
					return;
				}
				if (conflict.versions().containsKey(TableKeys.job(id))) {
					this.onConflict.accept(id);
				}
				else {
					requeue(id, entry);
				}
			});
		}
	}

	private void resolveUnansweredCommit(Map<JobId, PendingWrite> batch, String writeId, Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		if (cause instanceof PlatformException platform && !platform.mayHaveTakenEffect()) {
			clearInFlight();
			batch.forEach(this::requeue);
			return;
		}
		JobId first = batch.keySet().iterator().next();
		this.table.read(TableKeys.job(first)).whenCompleteAsync((row, readFailure) -> {
			if (readFailure != null) {
				this.pendingReadBack = () -> resolveUnansweredCommit(batch, writeId, failure);
				return;
			}
			completeReadBack(batch, writeId, first, row.orElse(null));
		}, this.controlExecutor);
	}

	private void completeReadBack(Map<JobId, PendingWrite> batch, String writeId, JobId first, Row row) {
		clearInFlight();
		this.available = true;
		boolean written = row != null && Json.read(row.value(), JobRecord.class).writeId().equals(writeId);
		if (!written) {
			batch.forEach(this::requeue);
			return;
		}
		batch.forEach((id, entry) -> confirmDurable(id, entry, row.version()));
	}

	private void clearInFlight() {
		this.commitInFlight = false;
		this.inFlightJobs.clear();
	}

	private void confirmDurable(JobId id, PendingWrite entry, long version) {
		if (entry.job.isRetired()) {
			return;
		}
		this.rowVersions.put(id, version);
		this.writtenJobs.add(id);
		entry.callbacks.forEach(Runnable::run);
	}

	private void requeue(JobId id, PendingWrite entry) {
		if (entry.job.isRetired()) {
			return;
		}
		PendingWrite later = this.pendingWrites.get(id);
		if (later != null) {
			entry.callbacks.addAll(later.callbacks);
		}
		this.pendingWrites.put(id, entry);
	}

	/**
	 * Remove a job's pending write and row version, for instance after the loss of its
	 * queue.
	 * @param id the job
	 */
	public void forget(JobId id) {
		this.pendingWrites.remove(id);
		this.rowVersions.remove(id);
		this.writtenJobs.remove(id);
	}

	/**
	 * Set the version of the host list that is written to each record from now on.
	 * @param version the version of the host list
	 */
	public void setHostsVersion(long version) {
		this.hostsVersion = version;
	}

	/**
	 * Return whether a job has state that is not durable yet. A write in flight of a
	 * retired object of the job does not count.
	 * @param job the job
	 * @return {@code true} if a write of the job is enqueued or in flight
	 */
	boolean isPending(Job job) {
		return this.pendingWrites.containsKey(job.id()) || this.inFlightJobs.contains(job);
	}

	/**
	 * Return whether the table answered the last commit.
	 * @return {@code false} while the table is unavailable
	 */
	public boolean isAvailable() {
		return this.available;
	}

	/**
	 * Return the number of group commits sent so far.
	 * @return the number of commits, whether answered or not
	 */
	public long commitCount() {
		return this.commitCount;
	}

	/**
	 * The record of a job as it was read.
	 *
	 * @param record the record
	 * @param version the version of its row
	 */
	record StoredRecord(JobRecord record, long version) {

	}

	/**
	 * A job to write.
	 *
	 * @param job the job
	 * @param callbacks called once the job is durable
	 */
	private record PendingWrite(Job job, List<Runnable> callbacks) {

	}

}
