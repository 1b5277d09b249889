package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulingLoopTests {

	private final VirtualTime time = new VirtualTime();

	private final PoolClock clock = new PoolClock(() -> this.time.clock().nanos() + this.workedNanos,
			this.time::millis);

	private final SchedulingLoop timer = new SchedulingLoop(this.time, this.clock, this::turn);

	private long workedNanos;

	private long turnNanos;

	private int turns;

	@BeforeEach
	void start() {
		this.timer.start();
	}

	private void turn() {
		this.turns++;
		this.workedNanos += this.turnNanos;
	}

	@Test
	void turnsComeAtIntervalsWithoutBeingAskedFor() {
		this.time.runFor(10 * SchedulingLoop.MAX_TURN_INTERVAL_MILLIS);
		assertThat(this.turns).isEqualTo(10);
	}

	@Test
	void oneIsQueuedHoweverOftenItIsAskedFor() {
		this.timer.requestTurn();
		this.timer.requestTurn();
		this.timer.requestTurn();
		this.time.runFor(1);
		assertThat(this.turns).isEqualTo(1);
	}

	@Test
	void aTurnIsFollowedByAPauseNineTimesAsLong() {
		this.turnNanos = TimeUnit.MILLISECONDS.toNanos(2);
		this.timer.requestTurn();
		this.time.runFor(1);
		this.timer.requestTurn();
		this.time.runFor(16);
		assertThat(this.turns).isEqualTo(1);
		this.time.runFor(1);
		assertThat(this.turns).isEqualTo(2);
	}

	@Test
	void noPauseIsLongerThanTheLongest() {
		this.turnNanos = TimeUnit.SECONDS.toNanos(3);
		this.timer.requestTurn();
		this.time.runFor(1);
		this.turnNanos = 0;
		this.timer.requestTurn();
		this.time.runFor(SchedulingLoop.MAX_PAUSE_MILLIS);
		assertThat(this.turns).isEqualTo(2);
	}

	@Test
	void aTurnThatIsQueuedDoesNothingOnceTheTimerIsClosed() {
		this.timer.requestTurn();
		this.timer.close();
		this.timer.requestTurn();
		this.time.runFor(10 * SchedulingLoop.MAX_TURN_INTERVAL_MILLIS);
		assertThat(this.turns).isZero();
	}

}
