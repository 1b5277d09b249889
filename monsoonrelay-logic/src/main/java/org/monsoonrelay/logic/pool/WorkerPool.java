package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * The workers of the pool by id. A worker that is no longer listed is kept until no run
 * can be active there. Not thread-safe: confined to the control thread.
 */
final class WorkerPool {

	private final Map<String, PoolWorker> workers = new LinkedHashMap<>();

	// Workers that the durable owner record lists as usable, whatever write is in flight.
	private final Set<String> recordedWorkers = new HashSet<>();

	// Workers that a record names as silent which is durable or may become so.
	private final Set<String> silentWorkers = new HashSet<>();

	private final InheritedWorkers inherited = new InheritedWorkers();

	private boolean listReceived;

	// Entries of workers at whose address another worker answers. They are ignored until
	// they change.
	private final Map<String, WorkerInfo> replacedEntries = new HashMap<>();

	// At least the token generations of all workers that were removed.
	private int firstTokenGeneration;

	private long capacityVersion;

	private RunAccounting accounting = RunAccounting.NONE;

	/**
	 * Sets what is notified of the runs on all workers that are added from now on.
	 * @param listener is notified when a run is added or removed
	 */
	void account(RunAccounting listener) {
		this.accounting = listener;
	}

	/**
	 * Starts the recovery of the workers in the record of an earlier owner.
	 * @param takeOver how this process became the owner
	 */
	void recoverFrom(TakeOver takeOver) {
		OwnerRecord earlier = takeOver.previous();
		this.inherited.restore(takeOver);
		this.silentWorkers.addAll(takeOver.record().silentWorkers().keySet());
		this.recordedWorkers.addAll(earlier.workers());
		this.recordedWorkers.removeAll(this.silentWorkers);
	}

	InheritedWorkers inherited() {
		return this.inherited;
	}

	/**
	 * Updates the pool from the host list.
	 * @param listed all listed workers
	 * @return the workers that were added to the pool or are listed as restarted
	 */
	ListChanges update(Collection<WorkerInfo> listed) {
		Set<String> present = new HashSet<>();
		List<PoolWorker> added = new ArrayList<>();
		List<PoolWorker> restarted = new ArrayList<>();
		for (WorkerInfo info : listed) {
			present.add(info.id());
			PoolWorker known = this.workers.get(info.id());
			if (known != null) {
				if (known.update(info)) {
					restarted.add(known);
				}
				continue;
			}
			if (info.equals(this.replacedEntries.get(info.id()))) {
				continue;
			}
			PoolWorker worker = new PoolWorker(info, this.firstTokenGeneration, () -> ++this.capacityVersion,
					this.accounting);
			this.workers.put(info.id(), worker);
			if (this.recordedWorkers.contains(info.id())) {
				worker.markRecorded();
			}
			added.add(worker);
		}
		this.workers.values()
			.stream()
			.filter((worker) -> !present.contains(worker.id()))
			.forEach(PoolWorker::markUnlisted);
		this.replacedEntries.keySet().retainAll(present);
		this.listReceived = true;
		return new ListChanges(added, restarted);
	}

	/**
	 * Returns whether a lease may be granted to a worker. The next owner counts on the
	 * end of the leases that the record tells of a silent worker.
	 * @param worker the worker
	 * @return {@code false} while a record may be in force that names it as silent
	 */
	boolean mayGrantLease(PoolWorker worker) {
		return !this.silentWorkers.contains(worker.id());
	}

	/**
	 * Records that the owner record names the former incarnation of a worker. The worker
	 * accepts no work until a record names the current one.
	 * @param worker the worker
	 */
	void markRestarted(PoolWorker worker) {
		worker.clearRecorded();
		this.recordedWorkers.remove(worker.id());
	}

	/**
	 * Returns the workers to write to the next owner record. Of an unreachable or
	 * draining worker only the tasks are recorded that run there, or whose ends the next
	 * owner would not know, and it accepts no work until a record lists it as usable
	 * again. Otherwise a worker that has disappeared would delay all jobs of the next
	 * owner by the duration of a lease.
	 * @param hasUnwrittenProgress whether progress of jobs is not durable after the write
	 * @param nowNanos the current monotonic time
	 * @return the workers to record
	 */
	RecordedWorkers workersToRecord(boolean hasUnwrittenProgress, long nowNanos) {
		Set<String> ids = new HashSet<>(this.inherited.unreconciled());
		Map<String, List<String>> closed = new HashMap<>();
		Map<String, Long> incarnations = new HashMap<>(this.inherited.incarnations());
		this.inherited.unconfirmedTasks()
			.forEach((worker, tasks) -> closed.put(worker, tasks.stream().map(TaskKey::toString).toList()));
		for (PoolWorker worker : this.workers.values()) {
			if (worker.incarnation().isVerified() || !incarnations.containsKey(worker.id())) {
				worker.incarnation().startedMillis().ifPresent((millis) -> incarnations.put(worker.id(), millis));
			}
			if (worker.isUsable()) {
				ids.add(worker.id());
				continue;
			}
			worker.clearRecorded();
			this.recordedWorkers.remove(worker.id());
			Set<TaskKey> tasks = tasksToRecord(worker, hasUnwrittenProgress);
			tasks.addAll(this.inherited.unconfirmedTasks(worker.id()));
			if (!tasks.isEmpty()) {
				closed.put(worker.id(), tasks.stream().map(TaskKey::toString).toList());
			}
		}
		incarnations.keySet().removeIf((id) -> !ids.contains(id) && !closed.containsKey(id));
		// From now on the durable record may lack a worker that was removed from the
		// pool.
		this.recordedWorkers.retainAll(ids);
		Map<String, Long> silent = silentWorkersToRecord(ids, closed.keySet(), nowNanos);
		this.silentWorkers.addAll(silent.keySet());
		// A worker that is listed again gets a lease with its first start.
		this.recordedWorkers.removeAll(silent.keySet());
		return new RecordedWorkers(ids.stream().sorted().toList(), closed, incarnations, silent).bounded();
	}

	private Map<String, Long> silentWorkersToRecord(Set<String> ids, Set<String> closed, long nowNanos) {
		Map<String, Long> silent = new HashMap<>();
		Stream.concat(ids.stream(), closed.stream()).forEach((id) -> {
			PoolWorker worker = this.workers.get(id);
			long remainingMillis = this.inherited.remainingMillis(id, nowNanos);
			if (worker == null && this.listReceived) {
				silent.put(id, remainingMillis);
			}
			else if (worker != null && worker.silence().isSilent()) {
				silent.put(id, Math.max(remainingMillis, worker.lease().remainingMillis(nowNanos)));
			}
		});
		return silent;
	}

	private static Set<TaskKey> tasksToRecord(PoolWorker worker, boolean hasUnwrittenProgress) {
		Set<TaskKey> tasks = new LinkedHashSet<>();
		worker.runs().forEach((run) -> tasks.add(run.task()));
		tasks.addAll(worker.terminations().unprocessedTasks());
		if (hasUnwrittenProgress) {
			tasks.addAll(worker.terminations().undurableTasks());
		}
		return tasks;
	}

	boolean hasUnrecordedWorkers() {
		for (PoolWorker worker : this.workers.values()) {
			boolean isMissing = worker.isUsable() && !this.recordedWorkers.contains(worker.id());
			if (isMissing || (worker.isReachable() && !mayGrantLease(worker))) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of changes so far by which a worker may accept a task that it
	 * could not accept before, see {@link PoolWorker#capacityVersion()}.
	 * @return the version
	 */
	long capacityVersion() {
		return this.capacityVersion;
	}

	/**
	 * Records which workers the durable owner record contains. A worker that has
	 * restarted since the record was composed does not count, nor does a silent one: a
	 * start would outlive the leases that the record tells of.
	 * @param record the record
	 */
	void markRecorded(OwnerRecord record) {
		Map<String, Long> incarnations = record.incarnations();
		this.recordedWorkers.clear();
		this.silentWorkers.retainAll(record.silentWorkers().keySet());
		for (String id : record.workers()) {
			PoolWorker worker = this.workers.get(id);
			if (this.silentWorkers.contains(id)) {
				continue;
			}
			if (worker == null) {
				this.recordedWorkers.add(id);
			}
			else if (Objects.equals(incarnations.get(id), startedMillis(worker))) {
				this.recordedWorkers.add(id);
				worker.markRecorded();
			}
		}
	}

	private static Long startedMillis(PoolWorker worker) {
		OptionalLong millis = worker.incarnation().startedMillis();
		return millis.isPresent() ? millis.getAsLong() : null;
	}

	/**
	 * Returns the terminations in a write that is composed now, which holds all that are
	 * processed.
	 * @param unwritten ids of jobs that the write leaves out although they have changed
	 * @return the terminations of each incarnation
	 */
	Map<TerminationSequence, TerminationSequence.Written> writtenTerminations(Set<String> unwritten) {
		Map<TerminationSequence, TerminationSequence.Written> written = new HashMap<>();
		this.workers.values()
			.forEach((worker) -> written.put(worker.terminations(), worker.terminations().written(unwritten)));
		return written;
	}

	Optional<PoolWorker> worker(String id) {
		return Optional.ofNullable(this.workers.get(id));
	}

	void remove(PoolWorker worker) {
		if (this.workers.remove(worker.id(), worker)) {
			worker.runs().forEach(this.accounting::removed);
			this.firstTokenGeneration = Math.max(this.firstTokenGeneration, worker.incarnation().tokenGeneration());
		}
	}

	/**
	 * Removes a worker at whose address another worker answers. It is added again only
	 * when its entry in the list changes.
	 * @param worker the worker
	 */
	void removeReplaced(PoolWorker worker) {
		remove(worker);
		this.replacedEntries.put(worker.id(), worker.info());
	}

	Collection<PoolWorker> workers() {
		return this.workers.values();
	}

	/**
	 * Returns the utilization of the workers that accept work.
	 * @param nowNanos the current monotonic time
	 * @return the committed share of their processors, 1 if there are no such workers
	 */
	double utilization(long nowNanos) {
		long capacity = 0;
		long used = 0;
		for (PoolWorker worker : this.workers.values()) {
			if (worker.isAcceptingWork(nowNanos)) {
				capacity += worker.info().capacity().processors();
				used += worker.committed().processors();
			}
		}
		return (capacity > 0) ? (double) used / capacity : 1;
	}

	/**
	 * What an update from the worker list has changed. Immutable.
	 *
	 * @param added the workers that were added
	 * @param restarted the workers that are listed as restarted
	 */
	record ListChanges(List<PoolWorker> added, List<PoolWorker> restarted) {

	}

	/**
	 * The workers in an owner record. Immutable.
	 *
	 * @param workers ids of the workers on which any task may run
	 * @param closedWorkers tasks that may run on workers that accept no new work, by the
	 * worker's id
	 * @param incarnations by the worker's id, when its incarnation was started; without
	 * workers that do not tell
	 * @param silentWorkers by the id of a worker that does not answer, the time until all
	 * leases that owners granted it have ended, milliseconds
	 */
	record RecordedWorkers(List<String> workers, Map<String, List<String>> closedWorkers,
			Map<String, Long> incarnations, Map<String, Long> silentWorkers) {

		/** Maximum tasks in a record, which the next owner compares with its runs. */
		private static final int MAX_TASKS = 1000;

		private RecordedWorkers bounded() {
			boolean isBounded = this.closedWorkers.values().stream().mapToInt(List::size).sum() <= MAX_TASKS;
			return isBounded ? this : withoutTasks();
		}

		/**
		 * Returns the smaller form of a record that would be too large: the closed
		 * workers are listed as workers on which any task may run.
		 * @return the workers
		 */
		RecordedWorkers withoutTasks() {
			List<String> all = Stream.concat(this.workers.stream(), this.closedWorkers.keySet().stream())
				.distinct()
				.sorted()
				.toList();
			return new RecordedWorkers(all, Map.of(), this.incarnations, this.silentWorkers);
		}

	}

}
