package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.pool.LoadClass.Spread;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Submits more tasks within a second than the workers can execute in half a minute, and
 * counts the steps for which a worker is selected. By hand with another number of jobs:
 * {@code -Dqueue.jobs=100000}.
 */
class LongQueueLoadTests {

	private static final System.Logger LOGGER = System.getLogger(LongQueueLoadTests.class.getName());

	private static final int JOBS = Integer.getInteger("queue.jobs", 3_000);

	private static final int MAX_SELECTIONS = 600;

	/** Starts that keep nine tenths of the places in use. */
	private static final int MIN_STARTS = 6000;

	private static final int WORKERS = 8;

	private static final int SLOTS_PER_WORKER = 8;

	private static final long RUN_MILLIS = 240;

	private static final LoadSimulation.Cell CELL = new LoadSimulation.Cell(WORKERS, 6,
			new Resources(1000 * SLOTS_PER_WORKER, 100_000, 0));

	private static final Spread ONE = new Spread(1, 0, 1);

	private static final LoadClass ALIKE = jobs(ONE, 1, 0, 1);

	private static final LoadClass MIXED = jobs(new Spread(3, 0.8, 12), 1.5, 0.3, 0.6);

	private final CountingSelector selector = new CountingSelector(new GangAwareBestFit());

	private static LoadClass jobs(Spread width, double steps, double gangShare, double eligibleShare) {
		return new LoadClass("jobs", JOBS, 1, 2, 1000, steps, width, new Spread(RUN_MILLIS, 0, RUN_MILLIS),
				new Spread(1000, 0, 1000), new Spread(100, 0, 100), gangShare, 0.2, eligibleShare, 8, 0.1);
	}

	@Test
	void aTurnDoesNotVisitAllWaitingSteps() {
		Measurement measured = measure("alike", ALIKE);
		assertThat(measured.selectionsPerTurn()).isLessThan(Math.min(JOBS / 10, MAX_SELECTIONS));
		assertThat(measured.starts()).isGreaterThanOrEqualTo(Math.min(JOBS, MIN_STARTS));
	}

	@Test
	void aTurnDoesNotVisitAllWaitingStepsOfMixedJobs() {
		assertThat(measure("mixed", MIXED).selectionsPerTurn()).isLessThan(MAX_SELECTIONS);
	}

	private Measurement measure(String name, LoadClass load) {
		PlacementRules rules = new PlacementRules(new LeastSlackOrder(), this.selector,
				GangReservations.SLACK_THRESHOLD_MILLIS, GangReservations.MAX_RESERVED_SHARE);
		LoadSimulation simulation = new LoadSimulation(1, CELL, List.of(load), rules);
		long startNanos = System.nanoTime();
		LoadSimulation.Result result = simulation.run(TimeUnit.SECONDS.toMillis(1));
		long nanos = System.nanoTime() - startNanos;
		int turns = result.loads().stream().mapToInt(PoolDecision.PoolLoad::turns).sum();
		Measurement measured = new Measurement((double) this.selector.selections / turns,
				simulation.placements().size(), TimeUnit.NANOSECONDS.toMicros(nanos) / 1000.0 / turns);
		LOGGER.log(System.Logger.Level.INFO, "{0} jobs, {1}: {2} turns, {3}", JOBS, name, turns, measured);
		assertThat(result.faults()).isEmpty();
		return measured;
	}

	private record Measurement(double selectionsPerTurn, int starts, double realMillisPerTurn) {

	}

	private static final class CountingSelector implements WorkerSelector {

		private final WorkerSelector selector;

		private long selections;

		CountingSelector(WorkerSelector selector) {
			this.selector = selector;
		}

		@Override
		public Optional<PoolWorker> select(ActiveStep step, int index, List<PoolWorker> candidates, GangDemand demand) {
			this.selections++;
			return this.selector.select(step, index, candidates, demand);
		}

		@Override
		public List<List<PoolWorker>> alike(ActiveStep step, List<PoolWorker> candidates) {
			return this.selector.alike(step, candidates);
		}

	}

}
