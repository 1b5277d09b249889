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
 * Counts decisions and keeps the spans that they tell, whether their lines are left out
 * or not, and hands them on. Never blocks who decides. Thread-safe.
 */
public final class DecisionMetrics implements DecisionLog {

	/**
	 * Reasons of refusals that are counted by name; a program names seven of its own, the
	 * rest are of bodies that cannot be read.
	 */
	private static final int MOST_REASONS = 24;

	private static final String OTHER = "other";

	private static final String LAPSED = "LAPSED";

	private static final Pattern NO_NAME = Pattern.compile("[^A-Za-z0-9]+");

	private final DecisionLog next;

	private final MetricRegistry metrics;

	private final Set<String> reasons = ConcurrentHashMap.newKeySet();

	private final Map<String, Histogram> spans = new ConcurrentHashMap<>();

	/**
	 * Count decisions.
	 * @param next who writes them
	 * @param metrics where to count
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
			placed(placed);
		}
		else if (decision instanceof JobDecision.TaskEnded ended) {
			ended(ended);
		}
		else if (decision instanceof JobDecision.JobEnded ended) {
			count("pool.jobs." + ended.state());
			if (ended.lateMillis() > 0) {
				count("pool.jobs.late");
			}
		}
		else if (decision instanceof JobDecision.EligibilityAnswered answered) {
			note("pool.eligibility.millis", answered.tookMillis());
		}
		else if (decision instanceof JobDecision.RequestRefused refused) {
			count("refusals.reason." + reason(refused.reason()));
		}
		else if (decision instanceof JobDecision.StartFailed failed) {
			count("pool.starts.failed." + failed.outcome());
		}
		else {
			countRare(decision);
		}
	}

	private void placed(JobDecision.TaskPlaced placed) {
		count("pool.starts.sent");
		if (placed.attempt() == 1) {
			note("pool.queue_wait.millis", placed.waitedMillis());
		}
	}

	private void ended(JobDecision.TaskEnded ended) {
		count("pool.ends." + ended.end());
		if (LAPSED.equals(ended.end())) {
			count("pool.leases.lapsed");
		}
	}

	private void countRare(Decision decision) {
		if (decision instanceof PoolDecision.OwnershipTaken) {
			count("pool.ownership.taken");
		}
		else if (decision instanceof PoolDecision.OwnershipLost) {
			count("pool.ownership.lost");
		}
		else if (decision instanceof PoolDecision.WorkerSilent) {
			count("pool.workers.silent");
		}
		else if (decision instanceof PoolDecision.WorkerLost) {
			count("pool.workers.lost");
		}
		else if (decision instanceof JobDecision.TaskLost) {
			count("pool.runs.lost");
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
			case START_LATENCY -> note("pool.start.millis", value);
			case ACKNOWLEDGEMENT_LATENCY -> note("pool.acknowledgement.millis", value);
			case WASTED_PROCESSOR_TIME -> this.metrics.counter("pool.wasted.core_micros").inc(value);
		}
		this.next.recordMetric(measure, value);
	}

	// A body's fault may quote the body: names are bounded.
	private String reason(String text) {
		String name = NO_NAME.matcher(text).replaceAll("_");
		boolean isKnown = this.reasons.contains(name);
		if (!isKnown && this.reasons.size() >= MOST_REASONS) {
			return OTHER;
		}
		this.reasons.add(name);
		return name;
	}

	private void count(String name) {
		this.metrics.counter(name).inc();
	}

	private void note(String name, long value) {
		this.spans.computeIfAbsent(name, (key) -> SlidingWindowHistograms.getOrCreate(this.metrics, key)).update(value);
	}

}
