package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TurnTimerTests {

	private final VirtualTime time = new VirtualTime();

	private final PoolClock clock = new PoolClock(() -> this.time.clock().nanos() + this.workedNanos,
			this.time::millis);

	private final TurnTimer timer = new TurnTimer(this.time, this.clock, this::turn);

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
		this.time.runFor(10 * TurnTimer.TURN_MILLIS);
		assertThat(this.turns).isEqualTo(10);
	}

	@Test
	void oneIsQueuedHoweverOftenItIsAskedFor() {
		this.timer.soon();
		this.timer.soon();
		this.timer.soon();
		this.time.runFor(1);
		assertThat(this.turns).isEqualTo(1);
	}

	@Test
	void aTurnIsFollowedByAPauseNineTimesAsLong() {
		this.turnNanos = TimeUnit.MILLISECONDS.toNanos(2);
		this.timer.soon();
		this.time.runFor(1);
		this.timer.soon();
		this.time.runFor(16);
		assertThat(this.turns).isEqualTo(1);
		this.time.runFor(1);
		assertThat(this.turns).isEqualTo(2);
	}

	@Test
	void noPauseIsLongerThanTheLongest() {
		this.turnNanos = TimeUnit.SECONDS.toNanos(3);
		this.timer.soon();
		this.time.runFor(1);
		this.turnNanos = 0;
		this.timer.soon();
		this.time.runFor(TurnTimer.LONGEST_PAUSE_MILLIS);
		assertThat(this.turns).isEqualTo(2);
	}

	@Test
	void aTurnThatIsQueuedDoesNothingOnceTheTimerIsClosed() {
		this.timer.soon();
		this.timer.close();
		this.timer.soon();
		this.time.runFor(10 * TurnTimer.TURN_MILLIS);
		assertThat(this.turns).isZero();
	}

}
