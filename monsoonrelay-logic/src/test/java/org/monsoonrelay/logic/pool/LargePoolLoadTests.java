package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.pool.LoadClass.Spread;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the load of a salon chain on a cell of 245 workers, a fifth above the usual
 * load.
 * <p>
 * Guards against starvation by held capacity, in which wide jobs never ended and others
 * waited for many seconds while most workers were idle. A gang whose tickets had expired
 * planned its tasks anew in each pass and held that capacity until the reply, even while
 * its request was queued for a host. The plan consisted mostly of workers that had not
 * been queried, because workers known to be eligible for gangs, including this one, were
 * avoided; two thirds of them were not eligible, and the next plan used others. Holds
 * grew to 0.72 of the pool while 0.20 was in use, so that other steps queried each worker
 * that became free, one by one, and used up the time of the hosts: 83 requests were
 * queued, for up to 22 s. The {@code PoolLoad} and {@code EligibilityAnswered} lines show
 * this state by a high {@code held} and {@code questionsQueued}, and by 64 to 86 of 100
 * workers that are queried for the first time in follow-up requests.
 */
class LargePoolLoadTests {

	private static final LoadSimulation.Cell CELL = new LoadSimulation.Cell(245, 35, new Resources(32_000, 131_072, 0));

	private static final LoadClass CONFIRMATIONS = new LoadClass("confirmations", 96.3, 0.391, 1.5, 303, 1,
			new Spread(3.2, 0.8, 19), new Spread(640, 0.5, 1600), new Spread(5000, 0.45, 15_000),
			new Spread(18_000, 0.6, 55_000), 0.3, 0.2, 0.7, 9.36, 0.13);

	private static final LoadClass ROSTERS = new LoadClass("rosters", 3.33, 12.9, 2.2, 1003, 1.2,
			new Spread(20, 0.8, 120), new Spread(5000, 0.5, 12_000), new Spread(9000, 0.4, 15_000),
			new Spread(33_000, 0.5, 65_000), 1, 0.9, 0.35, 559, 8.06);

	private static final LoadClass VOUCHERS = new LoadClass("vouchers", 6.9, 3.9, 4, 3002, 1.5,
			new Spread(25, 0.8, 150), new Spread(2700, 0.5, 6800), new Spread(3500, 0.45, 10_000),
			new Spread(10_000, 0.6, 30_000), 0, 0.5, 0.45, 130, 1.82);

	private static final long ARRIVAL_MILLIS = 14_000;

	private static LoadSimulation.Result simulate(long seed, double factor) {
		List<LoadClass> classes = List.of(CONFIRMATIONS.scaled(factor), ROSTERS.scaled(factor),
				VOUCHERS.scaled(factor));
		return new LoadSimulation(seed, CELL, classes, PlacementRules.DEFAULT).run(ARRIVAL_MILLIS);
	}

	@Test
	void noStepStarvesBesideFreeWorkers() {
		LoadSimulation.Result result = simulate(2, 1.2);
		assertThat(result.faults()).isEmpty();
		assertThat(result.starved()).isEmpty();
	}

}
