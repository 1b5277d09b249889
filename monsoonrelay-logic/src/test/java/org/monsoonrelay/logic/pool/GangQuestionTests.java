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

	/** A step that found no room searches all workers again within this time. */
	private static final long SEARCH_MILLIS = 300;

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
	class OtherWorkers {

		private final QuestionedPool pool = new QuestionedPool(WorkersToAsk.USUAL);

		@Test
		void areAskedAboutIfTheyHaveRoomAndThoseKnownAsAllowedHaveNone() {
			this.pool.fill();
			this.pool.submitGang("gang", 2, LONG);
			this.pool.answer("gang");
			List<String> joined = this.pool.join(6);
			assertThat(this.pool.asked("gang")).isNotEmpty().isSubsetOf(joined);
		}

		@Test
		void areAskedAboutForTasksThatStartOneByOneAsWell() {
			this.pool.fill();
			this.pool.submitSingles("singles", 2, LONG);
			this.pool.answer("singles");
			List<String> joined = this.pool.join(6);
			this.pool.runFor(SEARCH_MILLIS);
			assertThat(this.pool.asked("singles")).isNotEmpty().isSubsetOf(joined);
		}

		@Test
		void areNotAskedAboutWhileTheyHaveNoRoom() {
			QuestionedPool larger = new QuestionedPool(WorkersToAsk.USUAL + 6);
			larger.fill();
			larger.submitGang("gang", 2, LONG);
			larger.answer("gang");
			larger.runFor(VALID_MILLIS);
			assertThat(larger.asked("gang")).isEmpty();
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
		void isNotPlannedForAQuestionThatIsNotNeededAnyMore() {
			QuestionedPool pool = new QuestionedPool(4);
			pool.fill();
			pool.submitGang("gang", 2, LONG);
			pool.answer("gang");
			pool.submitGang("other", 2, LONG);
			pool.runFor(VALID_MILLIS);
			pool.empty();
			pool.configureWithoutEligibility();
			assertThat(pool.isStarted("gang")).isTrue();
			pool.answer("other");
			assertThat(pool.isStarted("other")).isTrue();
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
