package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Handles workers that cannot be reached or are lost with their runs. Invariant: the runs
 * of a worker are lost only if a later incarnation answers or the worker's lease has
 * expired. Not thread-safe: confined to the control thread.
 */
final class WorkerLossHandler {

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final RunTerminationHandler terminations;

	private final CrashTracker crashes;

	private final InheritedStarts inheritedStarts;

	private final PoolClock clock;

	private final DecisionLog log;

	private boolean recovered;

	WorkerLossHandler(WorkerPool pool, JobRegistry jobs, RunTerminationHandler terminations, CrashTracker crashes,
			InheritedStarts inheritedStarts, PoolClock clock, DecisionLog log) {
		this.pool = pool;
		this.jobs = jobs;
		this.terminations = terminations;
		this.crashes = crashes;
		this.inheritedStarts = inheritedStarts;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Handles a poll that was not answered.
	 * @param worker the worker
	 * @param reason the failure
	 */
	void handleUnreachable(PoolWorker worker, String reason) {
		if (worker.isReachable()) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(), reason, worker.runCount()));
			this.crashes.workerUnreachable(worker);
		}
		worker.markUnreachable(this.clock.nanos());
	}

	/**
	 * Handles a worker in whose place a later incarnation answers.
	 * @param worker the worker
	 */
	void handleReplaced(PoolWorker worker) {
		if (worker.isReachable()) {
			this.crashes.workerUnreachable(worker);
		}
		Set<TaskKey> inherited = this.pool.unconfirmedTasks(worker.id());
		if (this.pool.isUnreconciled(worker.id()) && !worker.info().draining()) {
			this.inheritedStarts.recordUnknownLoss();
		}
		this.pool.markReconciled(worker.id());
		this.crashes.workerReplaced(worker.id());
		markLost(worker, RunLoss.WORKER_REPLACED);
		if (!worker.info().draining()) {
			inherited.forEach(this.terminations::handleInheritedLoss);
		}
		this.pool.remove(worker.id());
	}

	/**
	 * Handles the end of the recovery: the leases of workers that no owner has reached
	 * since the take-over have expired.
	 */
	void abandonRecovery() {
		Set<TaskKey> inherited = this.pool.unconfirmedTasks();
		if (!this.pool.isRecoveryComplete()) {
			this.inheritedStarts.recordUnknownLoss();
		}
		this.pool.abandonRecovery();
		inherited.forEach(this.terminations::handleInheritedLoss);
	}

	/**
	 * Handles the end of the recovery: the runs of all earlier owners are known, except
	 * those that were lost with a worker.
	 */
	void onRecovered() {
		this.recovered = true;
		this.jobs.inheritedJobs().forEach(this.terminations::handleUnknownLosses);
	}

	/**
	 * Handles a job that is loaded, possibly after the recovery.
	 * @param job the job's id
	 */
	void onJobLoaded(String job) {
		if (this.recovered) {
			this.jobs.job(job).ifPresent(this.terminations::handleUnknownLosses);
		}
	}

	/**
	 * Expires holds and leases, and removes expired workers that are no longer listed.
	 * @return {@code true} if runs were lost
	 */
	boolean expireLeases() {
		boolean isAnyLost = false;
		long now = this.clock.nanos();
		for (PoolWorker worker : List.copyOf(this.pool.workers())) {
			worker.expireHolds(now);
			boolean isExpired = !worker.isReachable()
					&& (!worker.lease().isClockKnown() || worker.lease().isExpired(now));
			if (!isExpired) {
				continue;
			}
			if (worker.lease().isClockKnown() && !worker.isLost()) {
				markLost(worker, RunLoss.LEASE_EXPIRED);
				isAnyLost = true;
			}
			if (!worker.isListed()) {
				this.pool.remove(worker.id());
			}
		}
		return isAnyLost;
	}

	private void markLost(PoolWorker worker, RunLoss loss) {
		if (worker.isLost()) {
			return;
		}
		Collection<Run> runs = worker.runs();
		this.log.write(new PoolDecision.WorkerLost(worker.id(), worker.info().failureDomain(), loss.description(),
				worker.info().draining(), this.crashes.isPartOfOutage(worker),
				worker.silence().millis(this.clock.nanos()), runs.size()));
		for (Run run : runs) {
			this.terminations.handleLostRun(worker, run, loss, runs.size() - 1);
		}
		worker.markLost();
	}

}
