package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;

import static org.assertj.core.api.Assertions.assertThat;

class EligibilityTrackerTests {

	private static final EligibilityTimes SHORT = new EligibilityTimes(10, 0.1, 2000);

	private static final EligibilityTimes LONG = new EligibilityTimes(430, 6, 2000);

	private static final EligibilityTimes LONGEST = new EligibilityTimes(450, 7, 2000);

	private final VirtualTime time = new VirtualTime();

	private final List<String> asked = new ArrayList<>();

	private final EligibilityTracker tracker = new EligibilityTracker((host, step, workers, timeout) -> {
		this.asked.add(step.job());
		return new CompletableFuture<Map<String, String>>();
	}, this.time, this.time.clock(), DecisionLog.NONE, (step) -> {
	});

	private void ask(String job, EligibilityTimes times, int rank) {
		this.tracker.request(new StepKey(job, 0, 0), times, () -> new EligibilityRequestDraft(List.of("w"), () -> {
		}), rank);
	}

	@Test
	void theQueuesOrderDecidesAmongLongQuestionsWhateverTheyCost() {
		this.tracker.updateHosts(List.of("only"));
		ask("second", LONG, 1);
		ask("first", LONGEST, 0);
		this.tracker.sendRequests();
		assertThat(this.asked).containsExactly("first");
	}

	@Test
	void anOpenQuestionFollowsItsStepsPlaceInTheQueue() {
		this.tracker.updateHosts(List.of("only"));
		ask("overtaken", LONG, 0);
		ask("urgent", LONGEST, 1);
		ask("urgent", LONGEST, 0);
		ask("overtaken", LONG, 1);
		this.tracker.sendRequests();
		assertThat(this.asked).containsExactly("urgent");
	}

	@Test
	void shortQuestionsGoBeforeLongOnes() {
		this.tracker.updateHosts(List.of("only"));
		ask("long", LONG, 0);
		ask("short", SHORT, 1);
		this.tracker.sendRequests();
		assertThat(this.asked).containsExactly("short");
	}

	@Nested
	class Drafts {

		private static final EligibilityTimes NEARLY_TOO_LONG_TO_WAIT = new EligibilityTimes(
				EligibilityHostSelector.SHORT_CALL_MILLIS - 2, 1, 2000);

		private int drafts;

		private int sent;

		private void ask(int workers) {
			List<String> named = IntStream.range(0, workers).mapToObj((i) -> "w" + i).toList();
			EligibilityTrackerTests.this.tracker.request(new StepKey("drafted", 0, 0), NEARLY_TOO_LONG_TO_WAIT, () -> {
				this.drafts++;
				return new EligibilityRequestDraft(named, () -> this.sent++);
			}, 9);
		}

		private void occupyTheOnlyHost() {
			EligibilityTrackerTests.this.tracker.updateHosts(List.of("only"));
			EligibilityTrackerTests.this.ask("short", SHORT, 0);
			EligibilityTrackerTests.this.tracker.sendRequests();
		}

		@Test
		void areNotWorkedOutWhileNoHostHasTime() {
			EligibilityTrackerTests.this.tracker.updateHosts(List.of("only"));
			EligibilityTrackerTests.this.ask("long", LONG, 0);
			EligibilityTrackerTests.this.tracker.sendRequests();
			ask(1);
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(this.drafts).isZero();
		}

		@Test
		void countAsSentOnlyOnceAHostHasTimeForAllThatTheyName() {
			occupyTheOnlyHost();
			ask(20);
			EligibilityTrackerTests.this.tracker.sendRequests();
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(this.sent).isZero();
			assertThat(this.drafts).isEqualTo(1);
			assertThat(EligibilityTrackerTests.this.tracker.queuedCount()).isEqualTo(1);
		}

		@Test
		void areSentIfAHostHasTime() {
			occupyTheOnlyHost();
			ask(1);
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(this.sent).isEqualTo(1);
			assertThat(EligibilityTrackerTests.this.asked).contains("drafted");
		}

		@Test
		void thatNameNobodyAreDropped() {
			EligibilityTrackerTests.this.tracker.updateHosts(List.of("only"));
			ask(0);
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(EligibilityTrackerTests.this.tracker.queuedCount()).isZero();
			assertThat(this.sent).isZero();
		}

	}

}
