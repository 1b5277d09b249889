package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.pool.LoadClass.Burst;
import org.monsoonrelay.logic.pool.LoadClass.Spread;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the load of a salon chain with 260 workers, of whose hosts a quarter is left to
 * ask for eligibility, with a burst of confirmations and one of rosters. While half of
 * the hosts were open to dear calls alone, the other half idled: of what all jobs were
 * owed 0.70 was earned, of rosters 0.46, and 222 jobs stood still beside free workers;
 * 0.95, 1.00 and 2 since hosts are kept for cheap calls by the load seen.
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

	private static final long PLAY_MILLIS = 20_000;

	@Test
	void dearCallsUseTheHostsThatCheapOnesDoNotNeed() {
		List<LoadClass> classes = List.of(CONFIRMATIONS.withBurst(new Burst(4000, 8000, 2.2)),
				ROSTERS.withBurst(new Burst(12_000, 16_000, 1.7)), VOUCHERS);
		LoadSimulation.Result served = new LoadSimulation(1, CELL, classes, PlacementRules.DEFAULT).run(PLAY_MILLIS);
		assertThat(served.faults()).isEmpty();
		assertThat(served.earnedShare("rosters")).isGreaterThan(0.95);
		assertThat(served.earnedShare("confirmations")).isGreaterThan(0.99);
		assertThat(served.earnedShare()).isGreaterThan(0.9);
	}

}
