package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Decides which waiting tasks may be started in this term of ownership. Invariants: a
 * task that an earlier owner may have started is not started before it is known what runs
 * on that owner's workers, and whether callers had cancelled its job; a task whose run
 * was lost is not started before the loss is confirmed; a task is not started while a
 * start request of an earlier run may still be executed; nothing is started while no
 * lease can be granted. Not thread-safe: confined to the control thread.
 */
final class StartGate {

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final OwnerLease lease;

	private final InheritedStarts inheritedStarts;

	private final InheritedCancellations cancellations;

	private boolean recovered;

	StartGate(JobRegistry jobs, WorkerPool pool, OwnerLease lease, InheritedStarts inheritedStarts,
			InheritedCancellations cancellations) {
		this.jobs = jobs;
		this.pool = pool;
		this.lease = lease;
		this.inheritedStarts = inheritedStarts;
		this.cancellations = cancellations;
	}

	/**
	 * Records that all runs started by an earlier owner are known, so that tasks of its
	 * jobs that are not running may be started.
	 */
	void markRecovered() {
		this.recovered = true;
	}

	/**
	 * Returns which waiting tasks of a step may be started.
	 * @param step the step
	 * @return the tasks for which workers are to be found, and the reason to wait, if any
	 */
	StartCheck check(ActiveStep step) {
		List<Integer> waiting = step.waitingTasks();
		if (waiting.isEmpty()) {
			return step.hasTasksBehindUndurableRecords() ? StartCheck.heldBack(WaitReason.RECORDS_NOT_DURABLE)
					: StartCheck.NONE_WAITING;
		}
		List<Integer> startable = withoutTasksElsewhere(step, waiting);
		if (startable.isEmpty()) {
			return StartCheck.heldBack(reasonMayRunElsewhere(step, waiting));
		}
		return new StartCheck(startable, reasonToWait(step));
	}

	// A gang waits until none of its tasks may run elsewhere.
	private List<Integer> withoutTasksElsewhere(ActiveStep step, List<Integer> waiting) {
		boolean areAllStartable = !this.pool.inherited().mayRunUnconfirmed() && this.jobs.unconfirmedLosses().isEmpty()
				&& this.jobs.unresolvedStarts().isEmpty();
		if (areAllStartable) {
			return waiting;
		}
		List<Integer> safe = waiting.stream()
			.filter((index) -> reasonMayRunElsewhere(step.key().task(index)).isEmpty())
			.toList();
		return (step.spec().gang() && safe.size() < waiting.size()) ? List.of() : safe;
	}

	private WaitReason reasonMayRunElsewhere(ActiveStep step, List<Integer> waiting) {
		return waiting.stream()
			.map((index) -> reasonMayRunElsewhere(step.key().task(index)))
			.flatMap(Optional::stream)
			.findFirst()
			.orElseThrow();
	}

	private Optional<WaitReason> reasonMayRunElsewhere(TaskKey task) {
		if (this.pool.inherited().mayRunUnconfirmed(task, this.jobs::isInherited)) {
			return Optional.of(WaitReason.RUN_UNCONFIRMED);
		}
		if (this.jobs.unconfirmedLosses().contains(task)) {
			return Optional.of(WaitReason.LOSS_UNCONFIRMED);
		}
		return this.jobs.unresolvedStarts().contains(task) ? Optional.of(WaitReason.START_UNRESOLVED)
				: Optional.empty();
	}

	private Optional<WaitReason> reasonToWait(ActiveStep step) {
		String job = step.job().id();
		if (!this.recovered && this.jobs.isInherited(job)) {
			return Optional.of(WaitReason.OWNER_RECOVERY);
		}
		if (this.jobs.isInherited(job) && this.cancellations.mayBeUnread(job)) {
			return Optional.of(WaitReason.CANCELLATIONS_UNREAD);
		}
		if (!this.lease.canGrantLeases()) {
			return Optional.of(WaitReason.LEASE_EXPIRED);
		}
		if (this.jobs.unwritten().isHeldBack(job)) {
			return Optional.of(WaitReason.PROGRESS_REJECTED);
		}
		return this.jobs.isDeferred(job) ? Optional.of(WaitReason.JOB_UNCONFIRMED) : Optional.empty();
	}

	/**
	 * Returns whether tasks for which workers were selected may be started at once.
	 * @param step the step
	 * @param tasks indexes of the tasks
	 * @return {@code false} if the next owner has to know of the starts first
	 */
	boolean prepareStart(ActiveStep step, List<Integer> tasks) {
		return this.inheritedStarts.prepareStart(step, tasks);
	}

}
