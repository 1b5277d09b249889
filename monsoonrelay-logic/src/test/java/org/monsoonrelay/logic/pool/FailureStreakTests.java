package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for how long a worker is avoided on which runs fail.
 */
class FailureStreakTests {

	private static final long BEGIN_NANOS = 1000;

	private final FailureStreak failures = new FailureStreak();

	private static long after(long millis) {
		return BEGIN_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@BeforeEach
	void beginAvoidance() {
		assertThat(this.failures.recordFailure("a", false, BEGIN_NANOS)).isFalse();
		assertThat(this.failures.recordFailure("b", false, BEGIN_NANOS)).isFalse();
		assertThat(this.failures.recordFailure("a", false, BEGIN_NANOS)).isTrue();
	}

	@Test
	void theAvoidanceEnds() {
		assertThat(this.failures.isAvoided(after(FailureStreak.AVOIDANCE_MILLIS - 1))).isTrue();
		assertThat(this.failures.isAvoided(after(FailureStreak.AVOIDANCE_MILLIS))).isFalse();
	}

	@Test
	void aFailureOfALongRunningTaskDoesNotProlongIt() {
		assertThat(this.failures.recordFailure("c", true, after(3000))).isFalse();
		assertThat(this.failures.isAvoided(after(FailureStreak.AVOIDANCE_MILLIS))).isFalse();
	}

	@Test
	void aFailureOfAnotherTaskProlongsIt() {
		assertThat(this.failures.recordFailure("c", false, after(3000))).isTrue();
		assertThat(this.failures.isAvoided(after(3000 + FailureStreak.AVOIDANCE_MILLIS - 1))).isTrue();
	}

	@Test
	void theFirstFailureOfALongRunningTaskAfterItBeginsAnother() {
		assertThat(this.failures.recordFailure("c", true, after(FailureStreak.AVOIDANCE_MILLIS))).isTrue();
		assertThat(this.failures.isAvoided(after(2 * FailureStreak.AVOIDANCE_MILLIS - 1))).isTrue();
	}

	@Test
	void aFailureOfALongRunningTaskDuringAPauseBeginsAnAvoidance() {
		this.failures.pause(after(FailureStreak.AVOIDANCE_MILLIS), 500);
		assertThat(this.failures.recordFailure("c", true, after(FailureStreak.AVOIDANCE_MILLIS + 100))).isTrue();
	}

	@Test
	void aPauseDoesNotShortenIt() {
		this.failures.pause(after(100), 500);
		assertThat(this.failures.isAvoided(after(FailureStreak.AVOIDANCE_MILLIS - 1))).isTrue();
	}

	@Test
	void aSuccessEndsIt() {
		this.failures.recordSuccess();
		assertThat(this.failures.isAvoided(after(1))).isFalse();
	}

}
