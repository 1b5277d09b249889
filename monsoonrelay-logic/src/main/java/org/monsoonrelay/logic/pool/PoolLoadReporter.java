package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Tells once a second what the pool looks like: what runs, what is held, what waits, and
 * what the owner's turns take. Without it held room looked like free room to everybody
 * but the owner. Not thread-safe: confined to the control thread.
 */
final class PoolLoadReporter {

	/** Time between two lines, milliseconds. */
	private static final long REPORT_INTERVAL_MILLIS = 1000;

	private final long epoch;

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final EligibilityTracker eligibility;

	private final DecisionLog log;

	private long reportedNanos;

	private int turns;

	private long totalTurnNanos;

	private long longestTurnNanos;

	PoolLoadReporter(long epoch, WorkerPool pool, JobRegistry jobs, EligibilityTracker eligibility, DecisionLog log,
			long nowNanos) {
		this.epoch = epoch;
		this.pool = pool;
		this.jobs = jobs;
		this.eligibility = eligibility;
		this.log = log;
		this.reportedNanos = nowNanos;
	}

	/**
	 * Note a turn, and tell if it is time.
	 * @param begunNanos when it began
	 * @param endedNanos when it ended
	 */
	void recordTurn(long begunNanos, long endedNanos) {
		this.turns++;
		this.totalTurnNanos += endedNanos - begunNanos;
		this.longestTurnNanos = Math.max(this.longestTurnNanos, endedNanos - begunNanos);
		if (endedNanos - this.reportedNanos >= TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MILLIS)) {
			this.reportedNanos = endedNanos;
			report(endedNanos);
			this.turns = 0;
			this.totalTurnNanos = 0;
			this.longestTurnNanos = 0;
		}
	}

	private void report(long nowNanos) {
		int workers = 0;
		long capacity = 0;
		long committed = 0;
		long held = 0;
		for (PoolWorker worker : this.pool.workers()) {
			if (worker.isAcceptingWork(nowNanos)) {
				workers++;
				capacity += worker.info().capacity().processors();
				committed += worker.committed().processors() - worker.held().processors();
				held += worker.held().processors();
			}
		}
		int steps = 0;
		int tasks = 0;
		for (ActiveStep step : this.jobs.openSteps()) {
			int waiting = step.waitingTasks().size();
			steps += (waiting > 0) ? 1 : 0;
			tasks += waiting;
		}
		this.log.write(new PoolDecision.PoolLoad(this.epoch, workers, capacity, committed, held, steps, tasks,
				this.eligibility.inFlightCount(), this.eligibility.queuedCount(), this.turns,
				TimeUnit.NANOSECONDS.toMillis(this.totalTurnNanos),
				TimeUnit.NANOSECONDS.toMillis(this.longestTurnNanos)));
	}

}
