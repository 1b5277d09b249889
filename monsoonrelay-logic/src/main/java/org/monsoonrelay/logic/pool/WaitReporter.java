package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

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

	/** Interval between two lines about a step with the same reason, nanoseconds. */
	private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final long epoch;

	private final LongFunction<List<WaitingStep>> waitingSteps;

	private final DecisionLog log;

	private long nextReportNanos;

	private boolean anyReported;

	/**
	 * Creates a reporter.
	 * @param epoch the owner's fencing token
	 * @param waitingSteps returns the steps that have waited for at least some
	 * milliseconds
	 * @param log receives the lines
	 * @param nowNanos the current monotonic time
	 */
	WaitReporter(long epoch, LongFunction<List<WaitingStep>> waitingSteps, DecisionLog log, long nowNanos) {
		this.epoch = epoch;
		this.waitingSteps = waitingSteps;
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
		for (WaitingStep waiting : this.waitingSteps.apply(MIN_WAIT_MILLIS)) {
			waiting.step().waiting().reason().ifPresent((reason) -> {
				steps.merge(reason.name(), 1, Integer::sum);
				logStep(waiting, reason, nowNanos);
			});
		}
		if (this.anyReported || !steps.isEmpty()) {
			this.log.write(new PoolDecision.StepsWaiting(this.epoch, steps));
		}
		this.anyReported = !steps.isEmpty();
	}

	private void logStep(WaitingStep waiting, WaitReason reason, long nowNanos) {
		ActiveStep step = waiting.step();
		if (!step.waiting().isLogDue(MIN_WAIT_MILLIS, nowNanos)) {
			return;
		}
		step.waiting().markLogged(nowNanos + REPEAT_INTERVAL_NANOS);
		this.log.write(new JobDecision.StepWaiting(step.job().id(), step.key().localName(), reason.name(),
				step.waiting().reasonMillis(nowNanos), step.waiting().millis(nowNanos), waiting.tasks(),
				waiting.suspectedTasks(), step.activeRuns().size(), waiting.matchingWorkers(),
				waiting.eligibleWorkers(), waiting.acceptingWorkers(), waiting.freeSlots()));
	}

}
