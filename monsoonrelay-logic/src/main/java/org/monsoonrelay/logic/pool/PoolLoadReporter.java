package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Logs the load of the pool once per second: the running, held and waiting tasks, and the
 * duration of the owner's turns. Held capacity is listed separately because only the
 * owner can distinguish it from free capacity. Not thread-safe: confined to the control
 * thread.
 */
final class PoolLoadReporter {

	/** Interval between two log lines, milliseconds. */
	private static final long REPORT_INTERVAL_MILLIS = 1000;

	private final long epoch;

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final EligibilityTracker eligibility;

	private final PoolStateWriter stateWriter;

	private final CustomerAccounts accounts;

	private final DecisionLog log;

	private long reportedNanos;

	private boolean customersYielded;

	private int turns;

	private long totalTurnNanos;

	private long longestTurnNanos;

	PoolLoadReporter(long epoch, WorkerPool pool, JobRegistry jobs, EligibilityTracker eligibility,
			PoolStateWriter stateWriter, CustomerAccounts accounts, DecisionLog log, long nowNanos) {
		this.epoch = epoch;
		this.pool = pool;
		this.jobs = jobs;
		this.eligibility = eligibility;
		this.stateWriter = stateWriter;
		this.accounts = accounts;
		this.log = log;
		this.reportedNanos = nowNanos;
	}

	/**
	 * Records a turn of the scheduling loop, and logs the load if a report is due.
	 * @param startNanos when the turn started
	 * @param endNanos when the turn ended
	 */
	void recordTurn(long startNanos, long endNanos) {
		this.turns++;
		this.totalTurnNanos += endNanos - startNanos;
		this.longestTurnNanos = Math.max(this.longestTurnNanos, endNanos - startNanos);
		if (endNanos - this.reportedNanos >= TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MILLIS)) {
			this.reportedNanos = endNanos;
			report(endNanos);
			this.turns = 0;
			this.totalTurnNanos = 0;
			this.longestTurnNanos = 0;
		}
	}

	private void reportYieldingCustomers() {
		List<String> customers = this.accounts.yielding().stream().sorted().toList();
		if (!customers.isEmpty() || this.customersYielded) {
			this.customersYielded = !customers.isEmpty();
			this.log.write(new PoolDecision.CustomersYielding(this.epoch, customers));
		}
	}

	private void report(long nowNanos) {
		reportYieldingCustomers();
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
				this.eligibility.inFlightCount(), this.eligibility.queuedCount(), this.jobs.waitingCount(),
				this.stateWriter.countAgeMillis(), this.turns, TimeUnit.NANOSECONDS.toMillis(this.totalTurnNanos),
				TimeUnit.NANOSECONDS.toMillis(this.longestTurnNanos)));
	}

}
