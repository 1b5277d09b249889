package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.EligibilityTimes;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whom gangs ask about, and what room is kept for them meanwhile.
 */
class GangQuestionTests {

	private static final long VALID_MILLIS = 2500;

	private static final EligibilityTimes LONG = new EligibilityTimes(500, 1, VALID_MILLIS);

	@Nested
	class Workers {

		@Test
		void knownAsAllowedAreAskedAboutInsteadOfUnknownOnes() {
			QuestionedPool pool = new QuestionedPool(WorkersToAsk.USUAL + 5);
			pool.fill();
			pool.submitGang("gang", 2, LONG);
			List<String> allowed = pool.answer("gang");
			pool.runFor(VALID_MILLIS);
			pool.empty();
			assertThat(pool.asked("gang")).isNotEmpty().isSubsetOf(allowed);
		}

	}

	@Nested
	class Room {

		@Test
		void isNotKeptForAGangWhoseQuestionWaitsForAHost() {
			QuestionedPool pool = new QuestionedPool(4);
			pool.fill();
			pool.submitGang("gang", 2, LONG);
			pool.answer("gang");
			pool.submitGang("other", 2, LONG);
			pool.runFor(VALID_MILLIS);
			pool.empty();
			assertThat(pool.asked("gang")).isEmpty();
			for (String id : List.of("a", "b", "c", "d")) {
				pool.submitUrgent(id);
			}
			assertThat(List.of("a", "b", "c", "d")).allMatch(pool::isStarted);
		}

		@Test
		void isKeptForAGangWhoseQuestionIsOnItsWay() {
			QuestionedPool pool = new QuestionedPool(4);
			pool.fill();
			pool.submitGang("gang", 2, LONG);
			pool.answer("gang");
			pool.runFor(VALID_MILLIS);
			pool.empty();
			for (String id : List.of("a", "b", "c", "d")) {
				pool.submitUrgent(id);
			}
			assertThat(List.of("a", "b", "c", "d").stream().filter(pool::isStarted)).hasSize(2);
			pool.answer("gang");
			assertThat(pool.isStarted("gang")).isTrue();
		}

	}

}
