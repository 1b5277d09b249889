package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against counts of jobs that are known as of an earlier time than assumed. */
class JobFeedFreshnessTests {

	private static final Duration WAIT = Duration.ofMillis(900);

	/** Near the arbitrary origin of the clock, at which nothing was confirmed. */
	private long nowMillis = 10;

	private final JobFeedFreshness freshness = new JobFeedFreshness(
			() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis));

	private void load() {
		this.freshness.callSent(Duration.ZERO);
		this.freshness.answerDelivered(false, true);
	}

	@Nested
	class DuringALoad {

		@Test
		void nothingIsRecentBeforeTheFirstCall() {
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
		}

		@Test
		void answersConfirmNothingWhileAPartitionIsMissing() {
			JobFeedFreshnessTests.this.freshness.callSent(Duration.ZERO);
			JobFeedFreshnessTests.this.freshness.answerDelivered(false, false);
			JobFeedFreshnessTests.this.freshness.callSent(WAIT);
			JobFeedFreshnessTests.this.freshness.answerDelivered(true, false);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
		}

		@Test
		void theLastPartitionConfirmsTheTimeOfTheFirstCall() {
			JobFeedFreshnessTests.this.freshness.callSent(Duration.ZERO);
			JobFeedFreshnessTests.this.nowMillis += JobFeedFreshness.MAX_AGE_MILLIS;
			JobFeedFreshnessTests.this.freshness.callSent(Duration.ZERO);
			JobFeedFreshnessTests.this.freshness.answerDelivered(false, true);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isTrue();
			JobFeedFreshnessTests.this.nowMillis++;
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
		}

		@Test
		void aPollConfirmsNoMoreThanTheLoadAfterIt() {
			JobFeedFreshnessTests.this.freshness.callSent(Duration.ZERO);
			JobFeedFreshnessTests.this.freshness.callSent(WAIT);
			JobFeedFreshnessTests.this.freshness.answerDelivered(false, true);
			JobFeedFreshnessTests.this.nowMillis += JobFeedFreshness.MAX_AGE_MILLIS + 1;
			JobFeedFreshnessTests.this.freshness.answerDelivered(true, true);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
		}

		@Test
		void nothingIsRecentAfterTheJobsWereForgotten() {
			load();
			JobFeedFreshnessTests.this.freshness.forget();
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
			load();
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isTrue();
		}

		@Test
		void answersConfirmNothingAfterTheHistoryWasLost() {
			load();
			JobFeedFreshnessTests.this.nowMillis += JobFeedFreshness.MAX_AGE_MILLIS + 1;
			JobFeedFreshnessTests.this.freshness.historyLost();
			JobFeedFreshnessTests.this.freshness.callSent(Duration.ZERO);
			JobFeedFreshnessTests.this.freshness.answerDelivered(false, false);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
			JobFeedFreshnessTests.this.freshness.answerDelivered(false, true);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isTrue();
		}

	}

	@Nested
	class AfterALoad {

		@Test
		void anEmptyAnswerConfirmsTheEndOfTheWait() {
			load();
			JobFeedFreshnessTests.this.freshness.callSent(WAIT);
			JobFeedFreshnessTests.this.nowMillis += JobFeedFreshness.MAX_AGE_MILLIS + 1;
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
			JobFeedFreshnessTests.this.freshness.answerDelivered(true, true);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isTrue();
		}

		@Test
		void changesConfirmTheTimeOfTheirCallOnly() {
			load();
			JobFeedFreshnessTests.this.freshness.callSent(WAIT);
			JobFeedFreshnessTests.this.nowMillis += JobFeedFreshness.MAX_AGE_MILLIS + 1;
			JobFeedFreshnessTests.this.freshness.answerDelivered(false, true);
			assertThat(JobFeedFreshnessTests.this.freshness.isRecent()).isFalse();
		}

	}

}
