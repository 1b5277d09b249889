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
 * Durable progress of jobs, one row a job, written in group commits of which one is in
 * flight at a time. Invariants: a callback runs only after the row that holds its fact is
 * durable; a lost answer is settled by reading back; a row changed by another owner is
 * never overwritten. Not thread-safe: confined to the control thread.
 */
public final class JobRecordStore {

	private static final int MAXIMUM_ROWS_PER_COMMIT = 64;

	private final TableService table;

	private final Executor controlExecutor;

	private final Supplier<String> writeIdSupplier;

	private final Consumer<JobId> onConflict;

	private final WriteBudget writeBudget;

	private final Map<JobId, Long> rowVersions = new HashMap<>();

	private final Map<JobId, PendingWrite> pendingWrites = new LinkedHashMap<>();

	private final Set<JobId> inFlightJobs = new HashSet<>();

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
	 * Load a job's progress.
	 * @param id the job
	 * @return the record, {@link JobRecord#NONE} if there is none
	 */
	public CompletableFuture<JobRecord> load(JobId id) {
		return this.table.read(TableKeys.job(id)).thenApplyAsync((row) -> {
			this.pendingWrites.remove(id);
			this.rowVersions.put(id, row.map(Row::version).orElse(ConditionalWrite.ABSENT));
			return row.map((found) -> Json.read(found.value(), JobRecord.class)).orElse(JobRecord.NONE);
		}, this.controlExecutor);
	}

	/**
	 * Have a job's present progress written with the next group commit. A retired job is
	 * not written any more.
	 * @param job the job
	 * @param onDurable runs once it is durable
	 */
	public void enqueue(Job job, Runnable onDurable) {
		if (job.isRetired()) {
			return;
		}
		this.pendingWrites.computeIfAbsent(job.id(), (id) -> new PendingWrite(job, new ArrayList<>())).callbacks
			.add(onDurable);
	}

	/**
	 * Write what is marked, unless a group commit is in flight.
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
		this.inFlightJobs.addAll(batch.keySet());
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
	 * Drop what is known of a job.
	 * @param id the job
	 */
	public void forget(JobId id) {
		this.pendingWrites.remove(id);
		this.rowVersions.remove(id);
	}

	/**
	 * Note the version of the host list, which each record carries from now on.
	 * @param version the version
	 */
	public void setHostsVersion(long version) {
		this.hostsVersion = version;
	}

	/**
	 * Tell whether a job has progress that is not durable yet.
	 * @param id the job
	 * @return {@code true} if it is marked or in flight
	 */
	public boolean isPending(JobId id) {
		return this.pendingWrites.containsKey(id) || this.inFlightJobs.contains(id);
	}

	/**
	 * Tell whether the last commit was answered.
	 * @return {@code false} while the platform does not answer
	 */
	public boolean isAvailable() {
		return this.available;
	}

	/**
	 * Number of group commits sent so far.
	 * @return the count
	 */
	public long commitCount() {
		return this.commitCount;
	}

	private record PendingWrite(Job job, List<Runnable> callbacks) {

	}

}
