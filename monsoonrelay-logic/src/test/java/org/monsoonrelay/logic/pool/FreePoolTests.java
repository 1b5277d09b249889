package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FreePoolTests {

	private static final HostSize LARGE = new HostSize(1.5, 200);

	private static final OwnerRecord LEFT = new OwnerRecord("p", "owner", 4, 7, false, List.of(), Map.of(), LARGE,
			List.of("first", "second", "third"), true);

	private static final long YIELD_ALMOST_MILLIS = FreePool.YIELD_MILLIS - 1;

	private final VirtualTime time = new VirtualTime();

	private FreePool of(String host, double processors, double linkMbps) {
		return new FreePool(new HostRecord(host, "domain", "a:1", "life", processors, linkMbps, false),
				this.time.clock());
	}

	private long untilTaken(FreePool pool, OwnerRecord record) {
		long begun = this.time.millis();
		FreePool.Step step = pool.next(record, 1);
		while (step != FreePool.Step.TAKE) {
			if (step == FreePool.Step.TRY_TABLE) {
				pool.writable();
			}
			this.time.runFor(1);
			step = pool.next(record, 1);
		}
		return this.time.millis() - begun;
	}

	@Test
	void isLeftToTheHostsThatStandReadyInTheirOrder() {
		assertThat(untilTaken(of("first", 1.5, 200), LEFT)).isZero();
		assertThat(untilTaken(of("third", 1.5, 200), LEFT)).isEqualTo(FreePool.YIELD_TO_FIRST_MILLIS);
		assertThat(untilTaken(of("other", 1.5, 200), LEFT)).isEqualTo(2 * FreePool.YIELD_MILLIS);
	}

	@Test
	void isLeftToLargeHostsByOneOfFewProcessorsOrANarrowLinkWhateverItsPlace() {
		long small = FreePool.YIELD_MILLIS + FreePool.YIELD_TO_LARGE_MILLIS;
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
		FreePool pool = of("other", 1.5, 200);
		assertThat(pool.next(LEFT, 1)).isEqualTo(FreePool.Step.LEAVE);
		this.time.runFor(60_000);
		assertThat(pool.next(LEFT, 1)).isEqualTo(FreePool.Step.TRY_TABLE);
		pool.writable();
		assertThat(pool.next(LEFT, 1)).isEqualTo(FreePool.Step.LEAVE);
		this.time.runFor(FreePool.YIELD_MILLIS);
		assertThat(pool.next(LEFT, 1)).isEqualTo(FreePool.Step.TAKE);
	}

	@Test
	void isLeftAnewAfterATimeInWhichNobodyCouldTakeItOver() {
		FreePool pool = of("other", 1.5, 200);
		pool.next(LEFT, 1);
		this.time.runFor(YIELD_ALMOST_MILLIS);
		pool.writable();
		this.time.runFor(YIELD_ALMOST_MILLIS);
		pool.unavailable();
		pool.writable();
		this.time.runFor(5000);
		assertThat(untilTaken(pool, LEFT)).isEqualTo(2 * FreePool.YIELD_MILLIS);
	}

	@Test
	void isLeftAnewOnceItsRowHasChanged() {
		FreePool pool = of("other", 1.5, 200);
		pool.next(LEFT, 1);
		pool.writable();
		this.time.runFor(FreePool.YIELD_MILLIS);
		assertThat(pool.next(LEFT, 2)).isEqualTo(FreePool.Step.LEAVE);
		this.time.runFor(FreePool.YIELD_MILLIS);
		assertThat(pool.next(LEFT, 2)).isEqualTo(FreePool.Step.TRY_TABLE);
	}

}
