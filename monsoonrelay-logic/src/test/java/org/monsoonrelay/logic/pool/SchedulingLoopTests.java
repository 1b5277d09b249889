package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulingLoopTests {

	private final VirtualTime time = new VirtualTime();

	private final PoolClock clock = new PoolClock(() -> this.time.clock().nanos() + this.workNanos, this.time::millis);

	private final SchedulingLoop loop = new SchedulingLoop(this.time, this.clock, this::runTurn);

	private long workNanos;

	private long turnNanos;

	private int turns;

	@BeforeEach
	void start() {
		this.loop.start();
	}

	private void runTurn() {
		this.turns++;
		this.workNanos += this.turnNanos;
	}

	@Test
	void turnsRunAtIntervalsWithoutARequest() {
		this.time.runFor(10 * SchedulingLoop.MAX_TURN_INTERVAL_MILLIS);
		assertThat(this.turns).isEqualTo(10);
	}

	@Test
	void repeatedRequestsQueueASingleTurn() {
		this.loop.requestTurn();
		this.loop.requestTurn();
		this.loop.requestTurn();
		this.time.runFor(1);
		assertThat(this.turns).isEqualTo(1);
	}

	@Test
	void aTurnIsFollowedByAPauseNineTimesAsLong() {
		this.turnNanos = TimeUnit.MILLISECONDS.toNanos(2);
		this.loop.requestTurn();
		this.time.runFor(1);
		this.loop.requestTurn();
		this.time.runFor(16);
		assertThat(this.turns).isEqualTo(1);
		this.time.runFor(1);
		assertThat(this.turns).isEqualTo(2);
	}

	@Test
	void noPauseExceedsTheMaximum() {
		this.turnNanos = TimeUnit.SECONDS.toNanos(3);
		this.loop.requestTurn();
		this.time.runFor(1);
		this.turnNanos = 0;
		this.loop.requestTurn();
		this.time.runFor(SchedulingLoop.MAX_PAUSE_MILLIS);
		assertThat(this.turns).isEqualTo(2);
	}

	@Test
	void aQueuedTurnDoesNothingOnceTheLoopIsClosed() {
		this.loop.requestTurn();
		this.loop.close();
		this.loop.requestTurn();
		this.time.runFor(10 * SchedulingLoop.MAX_TURN_INTERVAL_MILLIS);
		assertThat(this.turns).isZero();
	}

}
