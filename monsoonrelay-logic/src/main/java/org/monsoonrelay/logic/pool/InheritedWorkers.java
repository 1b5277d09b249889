package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * The workers of earlier owners that have not reported all their runs to this owner, and
 * the tasks that may run there, or have ended there unread. Invariant: a worker is
 * contained until it has reported all its runs, or until it is silent and all leases that
 * owners granted it have ended. Not thread-safe: confined to the control thread.
 */
final class InheritedWorkers {

	// Workers on which an earlier owner may have started any task.
	private final Set<String> unreconciled = new HashSet<>();

	// Tasks on workers that were unreachable or draining under an earlier owner.
	private final Map<String, Set<TaskKey>> unconfirmedTasks = new HashMap<>();

	// The incarnations that an earlier owner polled last.
	private final Map<String, Long> incarnations = new HashMap<>();

	// Workers that are known to have answered the owner of the record as the recorded
	// incarnation.
	private final Set<String> verified = new HashSet<>();

	// Monotonic time at which the leases of a worker have ended.
	private final Map<String, Long> leaseEndNanos = new HashMap<>();

	// Workers that answer, but have not reported all their runs within the leases of
	// earlier owners.
	private final Set<String> overdue = new HashSet<>();

	/**
	 * Adds the workers in the record of the former owner.
	 * @param takeOver how this process became the owner
	 */
	void restore(TakeOver takeOver) {
		OwnerRecord record = takeOver.previous();
		this.unreconciled.addAll(record.workers());
		this.incarnations.putAll(record.incarnations());
		this.verified.addAll(record.workers());
		this.verified.removeAll(record.silentWorkers().keySet());
		record.closed()
			.forEach((worker, tasks) -> parseTasks(tasks).ifPresentOrElse(
					(parsed) -> this.unconfirmedTasks.put(worker, parsed), () -> this.unreconciled.add(worker)));
		for (String worker : workers()) {
			long endNanos = takeOver.formerLeaseEndNanos();
			Long silentMillis = record.silentWorkers().get(worker);
			if (silentMillis != null) {
				endNanos = Math.min(endNanos,
						takeOver.previousKnownNanos() + TimeUnit.MILLISECONDS.toNanos(silentMillis));
			}
			this.leaseEndNanos.put(worker, endNanos);
		}
	}

	// If the tasks cannot be parsed, any task may run on the worker.
	private static Optional<Set<TaskKey>> parseTasks(List<String> tasks) {
		try {
			return Optional.of(Set.copyOf(tasks.stream().map(TaskKey::parse).toList()));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private Set<String> workers() {
		Set<String> ids = new HashSet<>(this.unreconciled);
		ids.addAll(this.unconfirmedTasks.keySet());
		return ids;
	}

	/**
	 * Records that all runs that an earlier owner may have started on a worker are known.
	 * @param id the worker's id
	 */
	void markReconciled(String id) {
		this.unreconciled.remove(id);
		this.unconfirmedTasks.remove(id);
		this.incarnations.remove(id);
		this.verified.remove(id);
		this.leaseEndNanos.remove(id);
		this.overdue.remove(id);
	}

	/**
	 * Removes the workers whose leases have ended.
	 * @param nowNanos the current monotonic time
	 * @param mayReport matches the ids of workers that may still report runs, as they
	 * answer this owner or have a lease of it
	 * @return the workers
	 */
	List<Expired> expire(long nowNanos, Predicate<String> mayReport) {
		if (this.leaseEndNanos.isEmpty()) {
			return List.of();
		}
		List<Expired> expired = new ArrayList<>();
		for (String id : workers()) {
			if (hasFormerLeaseEnded(id, nowNanos) && !mayReport.test(id)) {
				expired.add(new Expired(id, this.unreconciled.contains(id), unconfirmedTasks(id)));
			}
		}
		expired.forEach((worker) -> markReconciled(worker.id()));
		return expired;
	}

	private boolean hasFormerLeaseEnded(String id, long nowNanos) {
		return nowNanos - this.leaseEndNanos.get(id) > 0;
	}

	/**
	 * Marks the workers as overdue whose leases of earlier owners have ended and that did
	 * not {@linkplain #expire expire}.
	 * @param nowNanos the current monotonic time
	 * @return the ids of those that were not overdue before
	 */
	List<String> markOverdue(long nowNanos) {
		return workers().stream()
			.filter((id) -> hasFormerLeaseEnded(id, nowNanos))
			.filter(this.overdue::add)
			.sorted()
			.toList();
	}

	/**
	 * Returns whether another incarnation of a worker reports than the one that an
	 * earlier owner polled last.
	 * @param id the worker's id
	 * @param report the first report to this owner
	 * @return {@code false} also if either start is not known
	 */
	boolean hasRestarted(String id, PollOutcome.Report report) {
		Long recorded = this.incarnations.get(id);
		return recorded != null && report.startedMillis().isPresent() && report.startedMillis().getAsLong() != recorded;
	}

	/**
	 * Returns whether the incarnation that an earlier owner polled last is known to
	 * report.
	 * @param id the worker's id
	 * @param report the first report to this owner
	 * @return {@code false} also if either start is not known
	 */
	boolean isSameIncarnation(String id, PollOutcome.Report report) {
		Long recorded = this.incarnations.get(id);
		return recorded != null && report.startedMillis().equals(OptionalLong.of(recorded));
	}

	/**
	 * Returns when all leases have ended that earlier owners granted a worker which
	 * reports. Only an incarnation that has answered an earlier owner as a usable worker
	 * is sure to have executed no request to a former incarnation since, whose lease may
	 * end later. A worker that does not tell its start has an id of its own for each
	 * incarnation.
	 * @param id the worker's id
	 * @param report the first report to this owner
	 * @return the monotonic time, empty if such a request may have been executed
	 */
	OptionalLong leaseEndNanos(String id, PollOutcome.Report report) {
		boolean areStartsUnknown = !this.incarnations.containsKey(id) && report.startedMillis().isEmpty();
		return (this.verified.contains(id) && (areStartsUnknown || isSameIncarnation(id, report)))
				? OptionalLong.of(this.leaseEndNanos.get(id)) : OptionalLong.empty();
	}

	/**
	 * Returns whether runs of an earlier owner may be active on a worker.
	 * @param id the worker's id
	 * @return {@code true} if the worker is contained
	 */
	boolean contains(String id) {
		return this.leaseEndNanos.containsKey(id);
	}

	/**
	 * Returns whether any task may run on a worker that has not reported yet.
	 * @param id the worker's id
	 * @return {@code true} if the runs on that worker are not known
	 */
	boolean isUnreconciled(String id) {
		return this.unreconciled.contains(id);
	}

	/**
	 * Returns whether no worker on which any task may run is awaited any more.
	 * @return {@code true} if only the tasks that {@link #mayRunUnconfirmed} matches may
	 * run unseen
	 */
	boolean areReconciled() {
		return this.overdue.containsAll(this.unreconciled);
	}

	/**
	 * Returns the workers on which any task may run.
	 * @return their ids
	 */
	Collection<String> unreconciled() {
		return this.unreconciled;
	}

	/**
	 * Returns the time until all leases have ended that earlier owners granted a worker
	 * which has not reported.
	 * @param id the worker's id
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if the worker is not contained
	 */
	long remainingMillis(String id, long nowNanos) {
		Long end = this.leaseEndNanos.get(id);
		return (end != null) ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - nowNanos) + 1) : 0;
	}

	/**
	 * Returns the time until nothing can run any more on the workers that have not
	 * reported.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if there are none
	 */
	long maxRemainingMillis(long nowNanos) {
		return this.leaseEndNanos.keySet().stream().mapToLong((id) -> remainingMillis(id, nowNanos)).max().orElse(0);
	}

	/**
	 * Returns the time until no worker is left on which any task may run.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if there are no such workers
	 */
	long unreconciledRemainingMillis(long nowNanos) {
		return this.unreconciled.stream().mapToLong((id) -> remainingMillis(id, nowNanos)).max().orElse(0);
	}

	/**
	 * Returns the time until a task cannot be active any more on a worker that was
	 * unreachable or draining.
	 * @param task the task
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if the task may not be active on such a worker
	 */
	long unconfirmedRemainingMillis(TaskKey task, long nowNanos) {
		return this.unconfirmedTasks.entrySet()
			.stream()
			.filter((worker) -> worker.getValue().contains(task))
			.mapToLong((worker) -> remainingMillis(worker.getKey(), nowNanos))
			.max()
			.orElse(0);
	}

	/**
	 * Returns the tasks that may be active on a worker that was unreachable or draining
	 * under an earlier owner and has not reported since.
	 * @param id the worker's id
	 * @return the tasks
	 */
	Set<TaskKey> unconfirmedTasks(String id) {
		return this.unconfirmedTasks.getOrDefault(id, Set.of());
	}

	/**
	 * Returns the tasks that may be active on workers that were unreachable or draining,
	 * by worker.
	 * @return the tasks
	 */
	Map<String, Set<TaskKey>> unconfirmedTasks() {
		return this.unconfirmedTasks;
	}

	/**
	 * Returns whether a task may be active, or have ended unread, on a worker that was
	 * unreachable or draining under an earlier owner and has not reported since, or on
	 * one that is overdue.
	 * @param task the task
	 * @param isInherited whether an earlier owner may have started tasks of a job
	 * @return {@code true} if the task must not be started
	 */
	boolean mayRunUnconfirmed(TaskKey task, Predicate<String> isInherited) {
		return this.unconfirmedTasks.values().stream().anyMatch((tasks) -> tasks.contains(task))
				|| (isInherited.test(task.job()) && this.overdue.stream().anyMatch(this.unreconciled::contains));
	}

	/**
	 * Returns whether {@link #mayRunUnconfirmed} may match a task.
	 * @return {@code false} if it matches none
	 */
	boolean mayRunUnconfirmed() {
		return !this.unconfirmedTasks.isEmpty() || !this.overdue.isEmpty();
	}

	Map<String, Long> incarnations() {
		return this.incarnations;
	}

	/**
	 * A worker that did not report before its leases have ended. Immutable.
	 *
	 * @param id the worker's id
	 * @param unreconciled whether any task may have run there
	 * @param tasks the tasks that may have run there if not any may have
	 */
	record Expired(String id, boolean unreconciled, Set<TaskKey> tasks) {

		String describeTasks() {
			return this.tasks.stream().map(TaskKey::toString).sorted().collect(Collectors.joining(" "));
		}

	}

}
