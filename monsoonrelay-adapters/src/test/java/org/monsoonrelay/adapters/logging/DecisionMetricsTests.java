package org.monsoonrelay.adapters.logging;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.Metric;
import org.monsoonrelay.logic.events.PoolDecision;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionMetricsTests {

	private final MetricRegistry metrics = new MetricRegistry();

	private final List<Decision> written = new ArrayList<>();

	private final DecisionMetrics log = new DecisionMetrics(this.written::add, this.metrics);

	private long count(String name) {
		return this.metrics.counter(name).getCount();
	}

	@Test
	void passEachDecisionToTheNextLog() {
		Decision decision = new PoolDecision.OwnershipTaken(1, "", "it was never owned");
		this.log.write(decision);
		assertThat(this.written).containsExactly(decision);
		assertThat(count("pool.ownership.taken")).isEqualTo(1);
	}

	@Test
	void recordTheQueueWaitOfFirstAttemptsOnly() {
		this.log.write(new JobDecision.TaskPlaced("a", "a.0.0.0", 1, "w", -1, 1, 5, 7, 300));
		this.log.write(new JobDecision.TaskPlaced("a", "a.0.0.0", 2, "w", -1, 1, 5, 7, 9000));
		assertThat(this.metrics.histogram("pool.queue_wait.millis").getSnapshot().getMax()).isEqualTo(300);
		assertThat(count("pool.starts.sent")).isEqualTo(2);
	}

	@Test
	void countTerminationsByReasonAndExpiredLeases() {
		this.log.write(new JobDecision.TaskEnded("a", "a.0.0.0", 1, "w", 1, "DONE", 300));
		this.log.write(new JobDecision.TaskEnded("a", "a.0.0.1", 1, "w", 2, "LAPSED", 300));
		assertThat(count("pool.ends.DONE")).isEqualTo(1);
		assertThat(count("pool.ends.LAPSED")).isEqualTo(1);
		assertThat(count("pool.leases.lapsed")).isEqualTo(1);
	}

	@Test
	void countRestartsOfWorkers() {
		this.log.write(new PoolDecision.WorkerRestarted("w", 1, 2, 900, 5, 7, 3));
		assertThat(count("pool.workers.restarted")).isEqualTo(1);
	}

	@Test
	void countTermsWithoutRenewals() {
		this.log.write(new PoolDecision.OwnershipUnconfirmed(200, 2210, 8, 25, 40));
		this.log.write(new JobDecision.TaskHeldBack("a", "a.0.0.0", 7216));
		assertThat(count("pool.ownership.unconfirmed")).isEqualTo(1);
		assertThat(count("pool.tasks.held_back")).isEqualTo(1);
	}

	@Test
	void countLostRunsByCause() {
		this.log.write(new JobDecision.TaskLost("a", "a.0.0.0", 1, "w", "WORKER_REPLACED", "restarted", "CONFIRMED",
				true, 9, 3));
		this.log
			.write(new JobDecision.TaskLost("a", "a.0.0.1", 1, "v", "LEASE_EXPIRED", "silent", "POSSIBLE", true, 9, 0));
		this.log.write(new JobDecision.TaskGivenUp("a", "a.0.0.0", 3, 0));
		assertThat(count("pool.runs.lost")).isEqualTo(2);
		assertThat(count("pool.runs.lost.WORKER_REPLACED")).isEqualTo(1);
		assertThat(count("pool.runs.lost.LEASE_EXPIRED")).isEqualTo(1);
		assertThat(count("pool.crashes.CONFIRMED")).isEqualTo(1);
		assertThat(count("pool.crashes.POSSIBLE")).isEqualTo(1);
		assertThat(count("pool.tasks.given_up")).isEqualTo(1);
	}

	@Test
	void countJobsByStateAndLateJobs() {
		this.log.write(new JobDecision.JobEnded("a", "COMPLETED", 100, -5));
		this.log.write(new JobDecision.JobEnded("b", "COMPLETED", 100, 5));
		assertThat(count("pool.jobs.COMPLETED")).isEqualTo(2);
		assertThat(count("pool.jobs.late")).isEqualTo(1);
	}

	@Test
	void countRefusalsByReasonWithALimitedNumberOfNames() {
		for (int i = 0; i < 1000; i++) {
			this.log.write(new JobDecision.RequestRefused("a", "no such queue", 1, 0));
			this.log.write(new JobDecision.RequestRefused("a", "body: '" + i + "'", 1, 0));
		}
		assertThat(count("refusals.reason.no_such_queue")).isEqualTo(1000);
		assertThat(count("refusals.reason.other")).isEqualTo(1000 - 23);
		assertThat(this.metrics.getNames()).hasSize(25);
	}

	@Test
	void recordMetricsWithoutALogLine() {
		this.log.recordMetric(Metric.START_LATENCY, 7);
		this.log.recordMetric(Metric.ACKNOWLEDGEMENT_LATENCY, 20);
		this.log.recordMetric(Metric.WASTED_PROCESSOR_TIME, 1_500_000);
		assertThat(this.metrics.histogram("pool.start.millis").getSnapshot().getMax()).isEqualTo(7);
		assertThat(this.metrics.histogram("pool.acknowledgement.millis").getSnapshot().getMax()).isEqualTo(20);
		assertThat(count("pool.wasted.core_micros")).isEqualTo(1_500_000);
		assertThat(this.written).isEmpty();
	}

	@Nested
	class GaugesOfWaitingSteps {

		private void report(Map<String, Integer> steps) {
			DecisionMetricsTests.this.log.write(new PoolDecision.StepsWaiting(100, steps));
		}

		private Map<String, Object> gauges() {
			Map<String, Object> values = new TreeMap<>();
			DecisionMetricsTests.this.metrics.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
			return values;
		}

		@Test
		void showTheLatestReportByReason() {
			report(Map.of("NO_CAPACITY", 3));
			report(Map.of("NO_CAPACITY", 2, "OWNER_RECOVERY", 7));
			assertThat(gauges())
				.isEqualTo(Map.of("pool.steps.waiting.NO_CAPACITY", 2, "pool.steps.waiting.OWNER_RECOVERY", 7));
			assertThat(DecisionMetricsTests.this.written).hasSize(2);
		}

		@Test
		void returnToZeroIfTheReasonIsMissingInTheNextReport() {
			report(Map.of("NO_CAPACITY", 2, "OWNER_RECOVERY", 7));
			report(Map.of("NO_CAPACITY", 2));
			assertThat(gauges()).containsEntry("pool.steps.waiting.OWNER_RECOVERY", 0)
				.containsEntry("pool.steps.waiting.NO_CAPACITY", 2);
			report(Map.of());
			assertThat(gauges()).hasSize(2).allSatisfy((name, value) -> assertThat(value).isEqualTo(0));
		}

		@Test
		void returnToZeroIfTheProcessLosesThePoolAndShowItsNextTerm() {
			report(Map.of("NO_CAPACITY", 2, "OWNER_RECOVERY", 7));
			DecisionMetricsTests.this.log.write(new PoolDecision.OwnershipLost(100, "another host owns the pool"));
			assertThat(gauges()).hasSize(2).allSatisfy((name, value) -> assertThat(value).isEqualTo(0));
			report(Map.of("OWNER_RECOVERY", 1));
			assertThat(gauges())
				.isEqualTo(Map.of("pool.steps.waiting.NO_CAPACITY", 0, "pool.steps.waiting.OWNER_RECOVERY", 1));
		}

	}

}
