package org.monsoonrelay.logic.pool;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Logs when the owner's lease has expired without a renewal, with the tasks that are held
 * back by then, and when a renewal is confirmed again. However long an outage lasts, both
 * are logged once. Not thread-safe: confined to the control thread.
 */
final class RenewalMonitor {

	private final OwnerLease lease;

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final DecisionLog log;

	private boolean unconfirmed;

	private long unconfirmedMillis;

	RenewalMonitor(OwnerLease lease, WorkerPool pool, JobRegistry jobs, DecisionLog log) {
		this.lease = lease;
		this.pool = pool;
		this.jobs = jobs;
		this.log = log;
	}

	/** Logs a change since the last check. */
	void check() {
		if (this.lease.isExpired()) {
			this.unconfirmedMillis = this.lease.renewalAgeMillis();
			if (!this.unconfirmed) {
				this.unconfirmed = true;
				logUnconfirmed();
			}
		}
		else if (this.unconfirmed) {
			this.unconfirmed = false;
			this.log.write(new PoolDecision.OwnershipConfirmed(this.lease.epoch(), this.unconfirmedMillis));
		}
	}

	private void logUnconfirmed() {
		int reachable = (int) this.pool.workers().stream().filter(PoolWorker::isReachable).count();
		int running = this.pool.workers().stream().mapToInt(PoolWorker::runCount).sum();
		this.log.write(new PoolDecision.OwnershipUnconfirmed(this.lease.epoch(), this.unconfirmedMillis, reachable,
				this.pool.workers().size() - reachable, running));
		this.jobs.unconfirmedLosses()
			.tasks()
			.stream()
			.filter(this.jobs::isUnfinished)
			.forEach((task) -> this.log
				.write(new JobDecision.TaskHeldBack(task.job(), task.toString(), this.unconfirmedMillis)));
	}

}
