package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * The workers of the pool, by the id of their life. A worker stays known after the list
 * has dropped it until nothing can run there any more. Not thread-safe: confined to the
 * control thread.
 */
final class WorkerPool {

	private final Map<String, PoolWorker> workers = new LinkedHashMap<>();

	private final Set<String> recordedWorkers = new HashSet<>();

	private final Set<String> unreconciledWorkers = new HashSet<>();

	private final Map<String, Set<TaskKey>> unconfirmedTasks = new HashMap<>();

	private long capacityVersion;

	/**
	 * Take over the workers that an earlier owner's row names.
	 * @param earlier the row
	 */
	void recoverFrom(OwnerRecord earlier) {
		this.unreconciledWorkers.addAll(earlier.workers());
		this.recordedWorkers.addAll(earlier.workers());
		earlier.closed()
			.forEach((worker, tasks) -> parseTasks(tasks).ifPresentOrElse(
					(known) -> this.unconfirmedTasks.put(worker, known), () -> this.unreconciledWorkers.add(worker)));
	}

	// What runs on a worker whose tasks cannot be read may be anything.
	private static Optional<Set<TaskKey>> parseTasks(List<String> tasks) {
		try {
			return Optional.of(Set.copyOf(tasks.stream().map(TaskKey::parse).toList()));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Take in the list of workers.
	 * @param listed all workers that the list names
	 * @return workers that were not known
	 */
	List<PoolWorker> update(Collection<WorkerInfo> listed) {
		Set<String> present = new HashSet<>();
		List<PoolWorker> added = new ArrayList<>();
		for (WorkerInfo info : listed) {
			present.add(info.id());
			PoolWorker known = this.workers.get(info.id());
			if (known != null) {
				known.update(info);
				continue;
			}
			PoolWorker worker = new PoolWorker(info, () -> ++this.capacityVersion);
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
		return added;
	}

	/**
	 * Note that what an earlier owner may have started on a worker is known.
	 * @param id the worker's id
	 */
	void markReconciled(String id) {
		this.unreconciledWorkers.remove(id);
		this.unconfirmedTasks.remove(id);
	}

	/**
	 * Whether it is known what runs on every worker that an earlier owner used.
	 * @return {@code true} if so
	 */
	boolean isFullyReconciled() {
		return this.unreconciledWorkers.isEmpty();
	}

	/**
	 * Give up waiting for workers that an earlier owner used: its leases have lapsed.
	 */
	void abandonReconciliation() {
		this.unreconciledWorkers.clear();
		this.unconfirmedTasks.clear();
	}

	/**
	 * Whether no task can run on a worker of which nothing was heard yet.
	 * @return {@code true} if {@link #mayRunUnconfirmed} is {@code false} for all tasks
	 */
	boolean hasNoUnconfirmedTasks() {
		return this.unconfirmedTasks.isEmpty();
	}

	/**
	 * Whether a task may run on a worker that did not answer an earlier owner or was
	 * leaving then, and has not been heard of since.
	 * @param task the task
	 * @return {@code true} if so
	 */
	boolean mayRunUnconfirmed(TaskKey task) {
		return this.unconfirmedTasks.values().stream().anyMatch((tasks) -> tasks.contains(task));
	}

	/**
	 * What the owner's row has to say of the workers from its next write on. A worker
	 * that does not answer or is leaving takes nothing until a row names it again, so
	 * that no more than its present runs can be there. One that is gone would otherwise
	 * hold up all jobs of the next owner for the length of a lease.
	 * @return the workers
	 */
	RecordedWorkers workersToRecord() {
		Set<String> ids = new HashSet<>(this.unreconciledWorkers);
		Map<String, List<String>> closed = new HashMap<>();
		this.unconfirmedTasks
			.forEach((worker, tasks) -> closed.put(worker, tasks.stream().map(TaskKey::toString).toList()));
		for (PoolWorker worker : this.workers.values()) {
			if (worker.isUsable()) {
				ids.add(worker.id());
				continue;
			}
			worker.clearRecorded();
			this.recordedWorkers.remove(worker.id());
			if (!worker.isLost() && worker.runCount() > 0) {
				closed.put(worker.id(), worker.runs().stream().map((run) -> run.task().toString()).toList());
			}
		}
		return new RecordedWorkers(ids.stream().sorted().toList(), closed).bounded();
	}

	boolean hasUnrecordedWorkers() {
		for (PoolWorker worker : this.workers.values()) {
			if (worker.isUsable() && !this.recordedWorkers.contains(worker.id())) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Number of the last change of a worker that may have made room, see
	 * {@link PoolWorker#capacityVersion()}.
	 * @return the number
	 */
	long capacityVersion() {
		return this.capacityVersion;
	}

	/**
	 * Note which workers the durable row names.
	 * @param ids their ids
	 */
	void markRecorded(Collection<String> ids) {
		this.recordedWorkers.clear();
		this.recordedWorkers.addAll(ids);
		ids.stream().map(this.workers::get).filter((worker) -> worker != null).forEach(PoolWorker::markRecorded);
	}

	Map<String, Long> processedSequences() {
		Map<String, Long> ends = new HashMap<>();
		this.workers.values().forEach((worker) -> ends.put(worker.id(), worker.processedSequence()));
		return ends;
	}

	void markDurable(Map<String, Long> ends) {
		ends.forEach((id, number) -> worker(id).ifPresent((worker) -> worker.markDurable(number)));
	}

	Optional<PoolWorker> worker(String id) {
		return Optional.ofNullable(this.workers.get(id));
	}

	void remove(String id) {
		this.workers.remove(id);
	}

	Collection<PoolWorker> workers() {
		return this.workers.values();
	}

	/**
	 * How much of the workers that take tasks is in use.
	 * @param nowNanos the current time
	 * @return share of their processors that runs hold, 1 if there are no such workers
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
	 * What an owner's row says of the workers. Immutable.
	 *
	 * @param workers those on which anything may run
	 * @param closedWorkers tasks on workers that take nothing new
	 */
	record RecordedWorkers(List<String> workers, Map<String, List<String>> closedWorkers) {

		/** Most tasks in a row; a row takes 48 KB, a task 24 bytes. */
		private static final int MAX_TASKS = 1000;

		private RecordedWorkers bounded() {
			if (this.closedWorkers.values().stream().mapToInt(List::size).sum() <= MAX_TASKS) {
				return this;
			}
			List<String> all = Stream.concat(this.workers.stream(), this.closedWorkers.keySet().stream())
				.distinct()
				.sorted()
				.toList();
			return new RecordedWorkers(all, Map.of());
		}

	}

}
