package org.monsoonrelay.logic.pool;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Logs the steps whose tasks have been waiting for a while: each when another reason
 * applies for a while and at a longer interval, and their number by reason once per
 * second. Not thread-safe: confined to the control thread.
 */
final class WaitReporter {

	/**
	 * Time without a start after which a step is reported, and time after which another
	 * reason of its wait is, milliseconds.
	 */
	static final long MIN_WAIT_MILLIS = 1000;

	private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Maximum number of steps that are described in one report, each of which looks at
	 * all workers. The others are in the next one.
	 */
	private static final int MAX_STEPS_PER_REPORT = 50;

	/** Interval between two lines about a step with the same reason, nanoseconds. */
	private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final long epoch;

	private final TaskPlacer placer;

	private final DecisionLog log;

	private long nextReportNanos;

	private boolean anyReported;

	/**
	 * Creates a reporter.
	 * @param epoch the owner's fencing token
	 * @param placer knows the steps that wait
	 * @param log receives the lines
	 * @param nowNanos the current monotonic time
	 */
	WaitReporter(long epoch, TaskPlacer placer, DecisionLog log, long nowNanos) {
		this.epoch = epoch;
		this.placer = placer;
		this.log = log;
		this.nextReportNanos = nowNanos + REPORT_INTERVAL_NANOS;
	}

	/**
	 * Logs the waiting steps if a report is due.
	 * @param nowNanos the current monotonic time
	 */
	void reportIfDue(long nowNanos) {
		if (nowNanos - this.nextReportNanos < 0) {
			return;
		}
		this.nextReportNanos = nowNanos + REPORT_INTERVAL_NANOS;
		Map<String, Integer> steps = new TreeMap<>();
		int described = 0;
		for (ActiveStep step : this.placer.stepsWaiting(MIN_WAIT_MILLIS)) {
			step.waiting().reason().ifPresent((reason) -> steps.merge(reason.name(), 1, Integer::sum));
			if (described < MAX_STEPS_PER_REPORT && step.waiting().isLogDue(MIN_WAIT_MILLIS, nowNanos)) {
				described++;
				logStep(this.placer.describe(step), nowNanos);
			}
		}
		if (this.anyReported || !steps.isEmpty()) {
			this.log.write(new PoolDecision.StepsWaiting(this.epoch, steps));
		}
		this.anyReported = !steps.isEmpty();
	}

	private void logStep(WaitingStep waiting, long nowNanos) {
		ActiveStep step = waiting.step();
		StepWait wait = step.waiting();
		wait.markLogged(nowNanos + REPEAT_INTERVAL_NANOS);
		this.log.write(new JobDecision.StepWaiting(step.job().id(), step.key().localName(),
				wait.reason().map(WaitReason::name).orElse(""), wait.reasonMillis(nowNanos), wait.millis(nowNanos),
				waiting.tasks(), waiting.suspectedTasks(), step.activeRuns().size(), waiting.matchingWorkers(),
				waiting.eligibleWorkers(), waiting.acceptingWorkers(), waiting.freeSlots(), waiting.workersWithRoom(),
				waiting.workersWithTicket()));
	}

}
