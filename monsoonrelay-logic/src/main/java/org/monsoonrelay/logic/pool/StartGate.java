package org.monsoonrelay.logic.pool;

import java.util.List;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Decides which waiting tasks may be started in this term of ownership. Invariants: a
 * task that an earlier owner may have started is not started before it is known what runs
 * on that owner's workers; a task whose run was lost is not started before the loss is
 * confirmed; a task is not started while a start request of an earlier run may still be
 * executed; nothing is started while no lease can be granted. Not thread-safe: confined
 * to the control thread.
 */
final class StartGate {

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final OwnerLease lease;

	private final InheritedStarts inheritedStarts;

	private boolean recovered;

	StartGate(JobRegistry jobs, WorkerPool pool, OwnerLease lease, InheritedStarts inheritedStarts) {
		this.jobs = jobs;
		this.pool = pool;
		this.lease = lease;
		this.inheritedStarts = inheritedStarts;
	}

	/**
	 * Records that all runs started by an earlier owner are known, so that tasks of its
	 * jobs that are not running may be started.
	 */
	void markRecovered() {
		this.recovered = true;
	}

	// A gang waits until none of its tasks may run elsewhere.
	List<Integer> startableTasks(ActiveStep step) {
		List<Integer> waiting = step.waitingTasks();
		boolean areAllStartable = this.pool.hasNoUnconfirmedTasks() && this.jobs.unconfirmedLosses().isEmpty()
				&& this.jobs.unresolvedStarts().isEmpty();
		if (waiting.isEmpty() || areAllStartable) {
			return waiting;
		}
		List<Integer> safe = waiting.stream().filter((index) -> !mayRunElsewhere(step.key().task(index))).toList();
		return (step.spec().gang() && safe.size() < waiting.size()) ? List.of() : safe;
	}

	private boolean mayRunElsewhere(TaskKey task) {
		return this.pool.mayRunUnconfirmed(task) || this.jobs.unconfirmedLosses().contains(task)
				|| this.jobs.unresolvedStarts().contains(task);
	}

	boolean mayStart(ActiveStep step) {
		String job = step.job().id();
		boolean mayAlreadyRun = !this.recovered && this.jobs.isInherited(job);
		return this.lease.canGrantLeases() && !mayAlreadyRun && !this.jobs.isDeferred(job);
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
