package org.monsoonrelay.adapters.logging;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.Metric;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * Counts decisions, records the durations that they report and passes them to the next
 * log. Includes decisions whose lines are omitted from the log. Gauges of waiting steps
 * show the latest report of this process and none after it has lost the pool. Never
 * blocks the caller. Thread-safe.
 */
public final class DecisionMetrics implements DecisionLog {

	/**
	 * Maximum number of refusal reasons that are counted by name. A program defines seven
	 * reasons of its own; the others describe bodies that cannot be read.
	 */
	private static final int MAX_REASON_NAMES = 24;

	private static final String OTHER = "other";

	private static final String LEASE_EXPIRED = "LAPSED";

	private static final Pattern NON_ALPHANUMERIC = Pattern.compile("[^A-Za-z0-9]+");

	private final DecisionLog next;

	private final MetricRegistry metrics;

	private final Set<String> reasonNames = ConcurrentHashMap.newKeySet();

	private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();

	private final Set<String> waitReasons = ConcurrentHashMap.newKeySet();

	private volatile Map<String, Integer> waitingSteps = Map.of();

	/**
	 * Creates a log that counts decisions.
	 * @param next the log that receives each decision afterwards
	 * @param metrics the registry of the metrics
	 */
	public DecisionMetrics(DecisionLog next, MetricRegistry metrics) {
		this.next = next;
		this.metrics = metrics;
	}

	@Override
	public void write(Decision decision) {
		count(decision);
		this.next.write(decision);
	}

	private void count(Decision decision) {
		if (decision instanceof JobDecision.TaskPlaced placed) {
			countPlacement(placed);
		}
		else if (decision instanceof JobDecision.TaskEnded ended) {
			countTermination(ended);
		}
		else if (decision instanceof JobDecision.JobEnded ended) {
			count("pool.jobs." + ended.state());
			if (ended.lateMillis() > 0) {
				count("pool.jobs.late");
			}
		}
		else if (decision instanceof JobDecision.EligibilityAnswered answered) {
			recordValue("pool.eligibility.millis", answered.tookMillis());
		}
		else if (decision instanceof JobDecision.RequestRefused refused) {
			count("refusals.reason." + reasonName(refused.reason()));
		}
		else if (decision instanceof JobDecision.StartFailed failed) {
			count("pool.starts.failed." + failed.outcome());
		}
		else if (decision instanceof PoolDecision.StepsWaiting waiting) {
			showWaitingSteps(waiting.steps());
		}
		else {
			countOther(decision);
		}
	}

	// All gauges read one map, so that a reason that is missing in it counts as 0. The
	// reasons are the names of an enum.
	private void showWaitingSteps(Map<String, Integer> steps) {
		this.waitingSteps = steps;
		for (String reason : steps.keySet()) {
			if (this.waitReasons.add(reason)) {
				this.metrics.gauge("pool.steps.waiting." + reason, () -> () -> waitingSteps(reason));
			}
		}
	}

	private int waitingSteps(String reason) {
		return this.waitingSteps.getOrDefault(reason, 0);
	}

	private void countPlacement(JobDecision.TaskPlaced placed) {
		count("pool.starts.sent");
		if (placed.attempt() == 1) {
			recordValue("pool.queue_wait.millis", placed.waitedMillis());
		}
	}

	private void countTermination(JobDecision.TaskEnded ended) {
		count("pool.ends." + ended.end());
		if (LEASE_EXPIRED.equals(ended.end())) {
			count("pool.leases.lapsed");
		}
	}

	private void countOther(Decision decision) {
		if (decision instanceof PoolDecision.OwnershipTaken) {
			count("pool.ownership.taken");
		}
		else if (decision instanceof PoolDecision.OwnershipLost) {
			count("pool.ownership.lost");
			this.waitingSteps = Map.of();
		}
		else if (decision instanceof PoolDecision.OwnershipUnconfirmed) {
			count("pool.ownership.unconfirmed");
		}
		else if (decision instanceof PoolDecision.WorkerSilent) {
			count("pool.workers.silent");
		}
		else if (decision instanceof PoolDecision.WorkerRestarted) {
			count("pool.workers.restarted");
		}
		else if (decision instanceof PoolDecision.WorkerLost) {
			count("pool.workers.lost");
		}
		else if (decision instanceof PoolDecision.InheritedRunsUnread) {
			count("pool.workers.unread");
		}
		else if (decision instanceof JobDecision.TaskLost lost) {
			count("pool.runs.lost");
			count("pool.runs.lost." + lost.cause());
			count("pool.crashes." + lost.crash());
		}
		else if (decision instanceof JobDecision.TaskHeldBack) {
			count("pool.tasks.held_back");
		}
		else if (decision instanceof JobDecision.StartConfirmedLate) {
			count("pool.starts.confirmed_late");
		}
		else if (decision instanceof JobDecision.StartUnresolved) {
			count("pool.starts.unresolved");
		}
		else if (decision instanceof JobDecision.UnexpectedRun unexpected) {
			count("pool.runs.unexpected." + unexpected.taskStatus());
		}
		else if (decision instanceof PoolDecision.InterferenceSuspected) {
			count("pool.interference.suspected");
		}
		else if (decision instanceof PoolDecision.InterferenceEnded) {
			count("pool.interference.ended");
		}
		else if (decision instanceof JobDecision.TaskPaced paced) {
			count((paced.percent() < paced.formerPercent()) ? "pool.paces.lowered" : "pool.paces.raised");
		}
		else if (decision instanceof JobDecision.PaceFailed) {
			count("pool.paces.failed");
		}
		else if (decision instanceof JobDecision.TaskGivenUp) {
			count("pool.tasks.given_up");
		}
		else if (decision instanceof ProcessDecision.DependencyLost) {
			count("dependencies.lost");
		}
		else if (decision instanceof JobDecision.WriteRelayed relayed) {
			count("submissions.relayed." + relayed.outcome());
		}
	}

	@Override
	public void recordMetric(Metric measure, long value) {
		switch (measure) {
			case START_LATENCY -> recordValue("pool.start.millis", value);
			case ACKNOWLEDGEMENT_LATENCY -> recordValue("pool.acknowledgement.millis", value);
			case WASTED_PROCESSOR_TIME -> this.metrics.counter("pool.wasted.core_micros").inc(value);
		}
		this.next.recordMetric(measure, value);
	}

	// The reason for rejecting a body may quote the body: limit the number of names.
	private String reasonName(String text) {
		String name = NON_ALPHANUMERIC.matcher(text).replaceAll("_");
		boolean isKnown = this.reasonNames.contains(name);
		if (!isKnown && this.reasonNames.size() >= MAX_REASON_NAMES) {
			return OTHER;
		}
		this.reasonNames.add(name);
		return name;
	}

	private void count(String name) {
		this.metrics.counter(name).inc();
	}

	private void recordValue(String name, long value) {
		this.histograms.computeIfAbsent(name, (key) -> SlidingWindowHistograms.getOrCreate(this.metrics, key))
			.update(value);
	}

}
