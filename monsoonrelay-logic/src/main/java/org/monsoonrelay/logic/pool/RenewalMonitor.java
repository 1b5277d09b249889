package org.monsoonrelay.logic.pool;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Logs when the owner's lease has expired without a renewal, and when a renewal is
 * confirmed again: two lines for an outage, however long it lasts. Not thread-safe:
 * confined to the control thread.
 */
final class RenewalMonitor {

	private final OwnerLease lease;

	private final WorkerPool pool;

	private final DecisionLog log;

	private boolean unconfirmed;

	private long unconfirmedMillis;

	RenewalMonitor(OwnerLease lease, WorkerPool pool, DecisionLog log) {
		this.lease = lease;
		this.pool = pool;
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
	}

}
