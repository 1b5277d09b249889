package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.EligibilityTimes;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which workers an eligibility request of a gang queries, and which capacity is held for
 * the gang meanwhile.
 */
class GangEligibilityTests {

	private static final long VALID_MILLIS = 2500;

	/** A step that found no capacity searches all workers again within this time. */
	private static final long MAX_SEARCH_DELAY_MILLIS = 300;

	private static final EligibilityTimes LONG = new EligibilityTimes(500, 1, VALID_MILLIS);

	@Nested
	class QueriedWorkers {

		@Test
		void areKnownEligibleOnesInsteadOfUnknownOnes() {
			ManualEligibilityPool pool = new ManualEligibilityPool(EligibilityCandidates.DEFAULT_REQUEST_SIZE + 5);
			pool.occupyAllWorkers();
			pool.submitGang("gang", 2, LONG);
			List<String> eligible = pool.reply("gang");
			pool.runFor(VALID_MILLIS);
			pool.freeAllWorkers();
			assertThat(pool.requestedWorkers("gang")).isNotEmpty().isSubsetOf(eligible);
		}

	}

	@Nested
	class OtherWorkers {

		private final ManualEligibilityPool pool = new ManualEligibilityPool(
				EligibilityCandidates.DEFAULT_REQUEST_SIZE);

		@Test
		void areQueriedIfTheyHaveCapacityAndEligibleOnesHaveNone() {
			this.pool.occupyAllWorkers();
			this.pool.submitGang("gang", 2, LONG);
			this.pool.reply("gang");
			List<String> joined = this.pool.addIdleWorkers(6);
			assertThat(this.pool.requestedWorkers("gang")).isNotEmpty().isSubsetOf(joined);
		}

		@Test
		void areQueriedForTasksThatStartOneByOneAsWell() {
			this.pool.occupyAllWorkers();
			this.pool.submitIndependentTasks("singles", 2, LONG);
			this.pool.reply("singles");
			List<String> joined = this.pool.addIdleWorkers(6);
			this.pool.runFor(MAX_SEARCH_DELAY_MILLIS);
			assertThat(this.pool.requestedWorkers("singles")).isNotEmpty().isSubsetOf(joined);
		}

		@Test
		void areNotQueriedWhileTheyHaveNoCapacity() {
			ManualEligibilityPool larger = new ManualEligibilityPool(EligibilityCandidates.DEFAULT_REQUEST_SIZE + 6);
			larger.occupyAllWorkers();
			larger.submitGang("gang", 2, LONG);
			larger.reply("gang");
			larger.runFor(VALID_MILLIS);
			assertThat(larger.requestedWorkers("gang")).isEmpty();
		}

	}

	@Nested
	class HeldCapacity {

		@Test
		void isNotReservedForAGangWhoseRequestWaitsForAHost() {
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
		void isNotPlannedForARequestThatIsNoLongerNeeded() {
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
		void isReservedForAGangWhoseRequestIsPending() {
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
