package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.EligibilityTimes;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whom gangs ask about, and what room is kept for them meanwhile.
 */
class GangEligibilityTests {

	private static final long VALID_MILLIS = 2500;

	/** A step that found no room searches all workers again within this time. */
	private static final long SEARCH_MILLIS = 300;

	private static final EligibilityTimes LONG = new EligibilityTimes(500, 1, VALID_MILLIS);

	@Nested
	class Workers {

		@Test
		void knownAsAllowedAreAskedAboutInsteadOfUnknownOnes() {
			ManualEligibilityPool pool = new ManualEligibilityPool(EligibilityCandidates.DEFAULT_REQUEST_SIZE + 5);
			pool.occupyAllWorkers();
			pool.submitGang("gang", 2, LONG);
			List<String> allowed = pool.reply("gang");
			pool.runFor(VALID_MILLIS);
			pool.freeAllWorkers();
			assertThat(pool.requestedWorkers("gang")).isNotEmpty().isSubsetOf(allowed);
		}

	}

	@Nested
	class OtherWorkers {

		private final ManualEligibilityPool pool = new ManualEligibilityPool(
				EligibilityCandidates.DEFAULT_REQUEST_SIZE);

		@Test
		void areAskedAboutIfTheyHaveRoomAndThoseKnownAsAllowedHaveNone() {
			this.pool.occupyAllWorkers();
			this.pool.submitGang("gang", 2, LONG);
			this.pool.reply("gang");
			List<String> joined = this.pool.addIdleWorkers(6);
			assertThat(this.pool.requestedWorkers("gang")).isNotEmpty().isSubsetOf(joined);
		}

		@Test
		void areAskedAboutForTasksThatStartOneByOneAsWell() {
			this.pool.occupyAllWorkers();
			this.pool.submitSingles("singles", 2, LONG);
			this.pool.reply("singles");
			List<String> joined = this.pool.addIdleWorkers(6);
			this.pool.runFor(SEARCH_MILLIS);
			assertThat(this.pool.requestedWorkers("singles")).isNotEmpty().isSubsetOf(joined);
		}

		@Test
		void areNotAskedAboutWhileTheyHaveNoRoom() {
			ManualEligibilityPool larger = new ManualEligibilityPool(EligibilityCandidates.DEFAULT_REQUEST_SIZE + 6);
			larger.occupyAllWorkers();
			larger.submitGang("gang", 2, LONG);
			larger.reply("gang");
			larger.runFor(VALID_MILLIS);
			assertThat(larger.requestedWorkers("gang")).isEmpty();
		}

	}

	@Nested
	class Room {

		@Test
		void isNotKeptForAGangWhoseQuestionWaitsForAHost() {
			ManualEligibilityPool pool = new ManualEligibilityPool(4);
			pool.occupyAllWorkers();
			pool.submitGang("gang", 2, LONG);
			pool.reply("gang");
			pool.submitGang("other", 2, LONG);
			pool.runFor(VALID_MILLIS);
			pool.freeAllWorkers();
			assertThat(pool.requestedWorkers("gang")).isEmpty();
			for (String id : List.of("a", "b", "c", "d")) {
				pool.submitUrgent(id);
			}
			assertThat(List.of("a", "b", "c", "d")).allMatch(pool::isStarted);
		}

		@Test
		void isNotPlannedForAQuestionThatIsNotNeededAnyMore() {
			ManualEligibilityPool pool = new ManualEligibilityPool(4);
			pool.occupyAllWorkers();
			pool.submitGang("gang", 2, LONG);
			pool.reply("gang");
			pool.submitGang("other", 2, LONG);
			pool.runFor(VALID_MILLIS);
			pool.freeAllWorkers();
			pool.configureWithoutEligibility();
			assertThat(pool.isStarted("gang")).isTrue();
			pool.reply("other");
			assertThat(pool.isStarted("other")).isTrue();
		}

		@Test
		void isKeptForAGangWhoseQuestionIsOnItsWay() {
			ManualEligibilityPool pool = new ManualEligibilityPool(4);
			pool.occupyAllWorkers();
			pool.submitGang("gang", 2, LONG);
			pool.reply("gang");
			pool.runFor(VALID_MILLIS);
			pool.freeAllWorkers();
			for (String id : List.of("a", "b", "c", "d")) {
				pool.submitUrgent(id);
			}
			assertThat(List.of("a", "b", "c", "d").stream().filter(pool::isStarted)).hasSize(2);
			pool.reply("gang");
			assertThat(pool.isStarted("gang")).isTrue();
		}

	}

}
