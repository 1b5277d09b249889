package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Keeps the replica of the job tables while this host is a standby. Invariant: a host
 * that neither owned the pool nor was selected as a standby within {@link #GRACE_MILLIS}
 * follows no job tables, which would fill the link of a small host. Not thread-safe:
 * confined to the control thread.
 */
public final class StandbyRole {

	/**
	 * Time for which a host that is not selected any more keeps its replica,
	 * milliseconds. The selection changes with each restart of a host, and the tables are
	 * read in full after the replica was dropped. A former owner is not selected before
	 * its successor has written a selection of its own.
	 */
	static final long GRACE_MILLIS = 10_000;

	private final JobTableReplica jobs;

	private final PoolClock clock;

	private final DecisionLog log;

	private long neededNanos;

	private boolean active;

	/**
	 * Creates the role of a host that is not a standby yet.
	 * @param jobs the host's replica
	 * @param clock the clock
	 * @param log receives decisions
	 */
	public StandbyRole(JobTableReplica jobs, PoolClock clock, DecisionLog log) {
		this.jobs = jobs;
		this.clock = clock;
		this.log = log;
		this.neededNanos = clock.nanos();
	}

	/**
	 * Updates the role. To be called at regular intervals.
	 * @param isSelected whether the owner has selected this host as a standby
	 */
	public void update(boolean isSelected) {
		long now = this.clock.nanos();
		if (isSelected) {
			this.neededNanos = now;
			this.jobs.start();
			setActive(true);
		}
		else if (this.jobs.hasOwner()) {
			this.neededNanos = now;
		}
		else if (TimeUnit.NANOSECONDS.toMillis(now - this.neededNanos) > GRACE_MILLIS && this.jobs.stopIfUnused()) {
			setActive(false);
		}
	}

	private void setActive(boolean isActive) {
		if (isActive != this.active) {
			this.active = isActive;
			this.log.write(new PoolDecision.StandbyChanged(isActive));
		}
	}

}
