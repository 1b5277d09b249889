package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.pool.LoadClass.Burst;
import org.monsoonrelay.logic.pool.LoadClass.Spread;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the load of a salon chain on 260 workers, with only a quarter of the hosts
 * left for eligibility calls, and with a burst of confirmations and one of rosters.
 * Guards against expensive calls waiting while hosts reserved for cheap calls are idle:
 * with a fixed half of the hosts for each, jobs earned 0.70 of their value, rosters 0.46,
 * and 222 jobs starved beside free workers. With hosts reserved by measured load these
 * figures are 0.95, 1.00 and 2.
 */
class FewHostsLoadTests {

	private static final LoadSimulation.Cell CELL = new LoadSimulation.Cell(260, 12, new Resources(32_000, 131_072, 0));

	private static final LoadClass CONFIRMATIONS = new LoadClass("confirmations", 50.9, 0.445, 1.5, 250, 1,
			new Spread(2.6, 0.8, 15), new Spread(1000, 0.5, 2500), new Spread(7800, 0.45, 23_000),
			new Spread(16_000, 0.6, 48_000), 0.3, 0.2, 0.7, 31.2, 0.442);

	private static final LoadClass ROSTERS = new LoadClass("rosters", 6.45, 4.01, 2.2, 1000, 1.2,
			new Spread(8, 0.6, 40), new Spread(6200, 0.5, 16_000), new Spread(9000, 0.4, 15_000),
			new Spread(26_000, 0.5, 52_000), 1, 0.5, 0.35, 507, 7.28);

	private static final LoadClass VOUCHERS = new LoadClass("vouchers", 8.71, 1.85, 4, 3000, 1.5,
			new Spread(17, 0.8, 100), new Spread(2200, 0.5, 5400), new Spread(5500, 0.45, 16_000),
			new Spread(16_000, 0.6, 47_000), 0, 0.9, 0.45, 182, 2.6);

	private static final long ARRIVAL_MILLIS = 20_000;

	@Test
	void expensiveCallsUseTheHostsThatCheapOnesDoNotNeed() {
		List<LoadClass> classes = List.of(CONFIRMATIONS.withBurst(new Burst(4000, 8000, 2.2)),
				ROSTERS.withBurst(new Burst(12_000, 16_000, 1.7)), VOUCHERS);
		LoadSimulation.Result result = new LoadSimulation(1, CELL, classes, PlacementRules.DEFAULT).run(ARRIVAL_MILLIS);
		assertThat(result.faults()).isEmpty();
		assertThat(result.earnedShare("rosters")).isGreaterThan(0.95);
		assertThat(result.earnedShare("confirmations")).isGreaterThan(0.99);
		assertThat(result.earnedShare()).isGreaterThan(0.9);
	}

}
