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
public final class JobJournal {

	private static final int MAXIMUM_ROWS = 64;

	private final TableService table;

	private final Executor control;

	private final Supplier<String> writeIds;

	private final Consumer<JobId> onConflict;

	private final WriteBudget budget;

	private final Map<JobId, Long> versions = new HashMap<>();

	private final Map<JobId, Pending> pending = new LinkedHashMap<>();

	private final Set<JobId> writing = new HashSet<>();

	private boolean inFlight;

	private boolean available = true;

	private Runnable unsettled;

	private long commits;

	private long hostsVersion = Long.MAX_VALUE;

	public JobJournal(TableService table, Executor control, Supplier<String> writeIds, Consumer<JobId> onConflict) {
		this(table, control, writeIds, onConflict, WriteBudget.unlimited());
	}

	public JobJournal(TableService table, Executor control, Supplier<String> writeIds, Consumer<JobId> onConflict,
			WriteBudget budget) {
		this.budget = budget;
		this.table = table;
		this.control = control;
		this.writeIds = writeIds;
		this.onConflict = onConflict;
	}

	/**
	 * Load a job's progress.
	 * @param id the job
	 * @return the record, {@link JobRecord#NONE} if there is none
	 */
	public CompletableFuture<JobRecord> load(JobId id) {
		return this.table.read(TableKeys.job(id)).thenApplyAsync((row) -> {
			this.pending.remove(id);
			this.versions.put(id, row.map(Row::version).orElse(ConditionalWrite.ABSENT));
			return row.map((found) -> Json.read(found.value(), JobRecord.class)).orElse(JobRecord.NONE);
		}, this.control);
	}

	/**
	 * Have a job's present progress written with the next group commit. A retired job is
	 * not written any more.
	 * @param job the job
	 * @param whenDurable runs once it is durable
	 */
	public void mark(Job job, Runnable whenDurable) {
		if (job.isRetired()) {
			return;
		}
		this.pending.computeIfAbsent(job.id(), (id) -> new Pending(job, new ArrayList<>())).callbacks.add(whenDurable);
	}

	/**
	 * Write what is marked, unless a group commit is in flight.
	 */
	public void flush() {
		if (this.unsettled != null) {
			Runnable readBack = this.unsettled;
			this.unsettled = null;
			readBack.run();
			return;
		}
		if (this.inFlight || this.pending.isEmpty()) {
			return;
		}
		int rows = Math.min(MAXIMUM_ROWS, this.budget.available());
		if (rows == 0) {
			return;
		}
		Map<JobId, Pending> batch = new LinkedHashMap<>();
		this.pending.entrySet().stream().limit(rows).forEach((entry) -> batch.put(entry.getKey(), entry.getValue()));
		this.pending.keySet().removeAll(batch.keySet());
		String writeId = this.writeIds.get();
		List<ConditionalWrite> writes = batch.values().stream().map((entry) -> write(entry.job, writeId)).toList();
		this.inFlight = true;
		this.writing.addAll(batch.keySet());
		this.commits++;
		this.budget.spend(batch.size());
		this.table.commit(writes)
			.whenCompleteAsync((result, failure) -> committed(batch, writeId, result, failure), this.control);
	}

	private ConditionalWrite write(Job job, String writeId) {
		return new ConditionalWrite(TableKeys.job(job.id()), Json.write(job.toRecord(writeId, this.hostsVersion)),
				this.versions.getOrDefault(job.id(), ConditionalWrite.ABSENT));
	}

	private void committed(Map<JobId, Pending> batch, String writeId, CommitResult result, Throwable failure) {
		if (failure != null) {
			this.available = false;
			settle(batch, writeId, failure);
			return;
		}
		landed();
		this.available = true;
		if (result instanceof CommitResult.Committed done) {
			batch.forEach((id, entry) -> durable(id, entry, done.versions().get(TableKeys.job(id))));
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

	private void settle(Map<JobId, Pending> batch, String writeId, Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		if (cause instanceof PlatformException platform && !platform.mayHaveTakenEffect()) {
			landed();
			batch.forEach(this::requeue);
			return;
		}
		JobId first = batch.keySet().iterator().next();
		this.table.read(TableKeys.job(first)).whenCompleteAsync((row, unread) -> {
			if (unread != null) {
				this.unsettled = () -> settle(batch, writeId, failure);
				return;
			}
			settled(batch, writeId, first, row.orElse(null));
		}, this.control);
	}

	private void settled(Map<JobId, Pending> batch, String writeId, JobId first, Row row) {
		landed();
		this.available = true;
		boolean ours = row != null && Json.read(row.value(), JobRecord.class).writeId().equals(writeId);
		if (!ours) {
			batch.forEach(this::requeue);
			return;
		}
		batch.forEach((id, entry) -> durable(id, entry, row.version()));
	}

	private void landed() {
		this.inFlight = false;
		this.writing.clear();
	}

	private void durable(JobId id, Pending entry, long version) {
		if (entry.job.isRetired()) {
			return;
		}
		this.versions.put(id, version);
		entry.callbacks.forEach(Runnable::run);
	}

	private void requeue(JobId id, Pending entry) {
		if (entry.job.isRetired()) {
			return;
		}
		Pending later = this.pending.get(id);
		if (later != null) {
			entry.callbacks.addAll(later.callbacks);
		}
		this.pending.put(id, entry);
	}

	/**
	 * Drop what is known of a job.
	 * @param id the job
	 */
	public void forget(JobId id) {
		this.pending.remove(id);
		this.versions.remove(id);
	}

	/**
	 * Note the version of the host list, which each record carries from now on.
	 * @param version the version
	 */
	public void knownHosts(long version) {
		this.hostsVersion = version;
	}

	/**
	 * Tell whether a job has progress that is not durable yet.
	 * @param id the job
	 * @return {@code true} if it is marked or in flight
	 */
	public boolean isPending(JobId id) {
		return this.pending.containsKey(id) || this.writing.contains(id);
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
	public long commits() {
		return this.commits;
	}

	private record Pending(Job job, List<Runnable> callbacks) {

	}

}
