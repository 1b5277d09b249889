package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverPolicyTests {

	private static final HostSize LARGE = new HostSize(1.5, 200);

	private static final OwnerRecord LEFT = new OwnerRecord("p", "owner", 4, 7, false, List.of(), Map.of(), LARGE,
			List.of("first", "second", "third"), true);

	private static final long YIELD_ALMOST_MILLIS = TakeOverPolicy.NON_STANDBY_DELAY_MILLIS - 1;

	private final VirtualTime time = new VirtualTime();

	private TakeOverPolicy of(String host, double processors, double linkMbps) {
		return new TakeOverPolicy(new HostRecord(host, "domain", "a:1", "life", processors, linkMbps, false),
				this.time.clock());
	}

	private long untilTaken(TakeOverPolicy pool, OwnerRecord record) {
		long begun = this.time.millis();
		TakeOverPolicy.Action step = pool.nextAction(record, 1);
		while (step != TakeOverPolicy.Action.TAKE_OVER) {
			if (step == TakeOverPolicy.Action.PROBE_TABLE) {
				pool.recordWritable();
			}
			this.time.runFor(1);
			step = pool.nextAction(record, 1);
		}
		return this.time.millis() - begun;
	}

	@Test
	void isLeftToTheHostsThatStandReadyInTheirOrder() {
		assertThat(untilTaken(of("first", 1.5, 200), LEFT)).isZero();
		assertThat(untilTaken(of("third", 1.5, 200), LEFT)).isEqualTo(TakeOverPolicy.STANDBY_DELAY_MILLIS);
		assertThat(untilTaken(of("other", 1.5, 200), LEFT)).isEqualTo(2 * TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
	}

	@Test
	void isLeftToLargeHostsByOneOfFewProcessorsOrANarrowLinkWhateverItsPlace() {
		long small = TakeOverPolicy.NON_STANDBY_DELAY_MILLIS + TakeOverPolicy.SMALL_HOST_DELAY_MILLIS;
		assertThat(untilTaken(of("first", 0.36, 200), LEFT)).isEqualTo(small);
		assertThat(untilTaken(of("second", 1.5, 10), LEFT)).isEqualTo(small);
		assertThat(untilTaken(of("other", 0.36, 10), LEFT)).isEqualTo(small);
	}

	@Test
	void isLeftToNobodyWhereNoHostsAreKnown() {
		OwnerRecord alone = new OwnerRecord("p", "owner", 4, 7, false, List.of(), Map.of(), HostSize.UNKNOWN, List.of(),
				true);
		assertThat(untilTaken(of("other", 0.36, 10), alone)).isZero();
	}

	@Test
	void isTakenByNoOtherHostBeforeTheTableTakesWrites() {
		TakeOverPolicy pool = of("other", 1.5, 200);
		assertThat(pool.nextAction(LEFT, 1)).isEqualTo(TakeOverPolicy.Action.WAIT);
		this.time.runFor(60_000);
		assertThat(pool.nextAction(LEFT, 1)).isEqualTo(TakeOverPolicy.Action.PROBE_TABLE);
		pool.recordWritable();
		assertThat(pool.nextAction(LEFT, 1)).isEqualTo(TakeOverPolicy.Action.WAIT);
		this.time.runFor(TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
		assertThat(pool.nextAction(LEFT, 1)).isEqualTo(TakeOverPolicy.Action.TAKE_OVER);
	}

	@Test
	void isLeftAnewAfterATimeInWhichNobodyCouldTakeItOver() {
		TakeOverPolicy pool = of("other", 1.5, 200);
		pool.nextAction(LEFT, 1);
		this.time.runFor(YIELD_ALMOST_MILLIS);
		pool.recordWritable();
		this.time.runFor(YIELD_ALMOST_MILLIS);
		pool.reset();
		pool.recordWritable();
		this.time.runFor(5000);
		assertThat(untilTaken(pool, LEFT)).isEqualTo(2 * TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
	}

	@Test
	void isLeftAnewOnceItsRowHasChanged() {
		TakeOverPolicy pool = of("other", 1.5, 200);
		pool.nextAction(LEFT, 1);
		pool.recordWritable();
		this.time.runFor(TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
		assertThat(pool.nextAction(LEFT, 2)).isEqualTo(TakeOverPolicy.Action.WAIT);
		this.time.runFor(TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
		assertThat(pool.nextAction(LEFT, 2)).isEqualTo(TakeOverPolicy.Action.PROBE_TABLE);
	}

}
