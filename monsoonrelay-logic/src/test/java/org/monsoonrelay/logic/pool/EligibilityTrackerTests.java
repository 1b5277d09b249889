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

	private final List<String> requestedJobs = new ArrayList<>();

	private final EligibilityTracker tracker = new EligibilityTracker((host, step, workers, timeout) -> {
		this.requestedJobs.add(step.job());
		return new CompletableFuture<Map<String, String>>();
	}, this.time, this.time.clock(), DecisionLog.NONE, (step) -> {
	});

	private void request(String job, EligibilityTimes times, int rank) {
		this.tracker.request(new StepKey(job, 0, 0), times, () -> new EligibilityRequestDraft(List.of("w"), () -> {
		}), rank);
	}

	@Test
	void longRequestsAreSentInQueueOrderWhateverTheirCost() {
		this.tracker.updateHosts(List.of("only"));
		request("second", LONG, 1);
		request("first", LONGEST, 0);
		this.tracker.sendRequests();
		assertThat(this.requestedJobs).containsExactly("first");
	}

	@Test
	void aQueuedRequestFollowsItsStepsPositionInTheQueue() {
		this.tracker.updateHosts(List.of("only"));
		request("overtaken", LONG, 0);
		request("urgent", LONGEST, 1);
		request("urgent", LONGEST, 0);
		request("overtaken", LONG, 1);
		this.tracker.sendRequests();
		assertThat(this.requestedJobs).containsExactly("urgent");
	}

	@Test
	void shortRequestsAreSentBeforeLongOnes() {
		this.tracker.updateHosts(List.of("only"));
		request("long", LONG, 0);
		request("short", SHORT, 1);
		this.tracker.sendRequests();
		assertThat(this.requestedJobs).containsExactly("short");
	}

	@Nested
	class Drafts {

		private static final EligibilityTimes BARELY_SHORT = new EligibilityTimes(
				EligibilityHostSelector.SHORT_CALL_MILLIS - 2, 1, 2000);

		private int drafts;

		private int sent;

		private void request(int workers) {
			List<String> named = IntStream.range(0, workers).mapToObj((i) -> "w" + i).toList();
			EligibilityTrackerTests.this.tracker.request(new StepKey("drafted", 0, 0), BARELY_SHORT, () -> {
				this.drafts++;
				return new EligibilityRequestDraft(named, () -> this.sent++);
			}, 9);
		}

		private void occupyOnlyHost() {
			EligibilityTrackerTests.this.tracker.updateHosts(List.of("only"));
			EligibilityTrackerTests.this.request("short", SHORT, 0);
			EligibilityTrackerTests.this.tracker.sendRequests();
		}

		@Test
		void areNotCreatedWhileNoHostIsAvailable() {
			EligibilityTrackerTests.this.tracker.updateHosts(List.of("only"));
			EligibilityTrackerTests.this.request("long", LONG, 0);
			EligibilityTrackerTests.this.tracker.sendRequests();
			request(1);
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(this.drafts).isZero();
		}

		@Test
		void countAsSentOnlyOnceAHostIsAvailableForAllTheirWorkers() {
			occupyOnlyHost();
			request(20);
			EligibilityTrackerTests.this.tracker.sendRequests();
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(this.sent).isZero();
			assertThat(this.drafts).isEqualTo(1);
			assertThat(EligibilityTrackerTests.this.tracker.queuedCount()).isEqualTo(1);
		}

		@Test
		void areSentIfAHostIsAvailable() {
			occupyOnlyHost();
			request(1);
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(this.sent).isEqualTo(1);
			assertThat(EligibilityTrackerTests.this.requestedJobs).contains("drafted");
		}

		@Test
		void withoutWorkersAreDropped() {
			EligibilityTrackerTests.this.tracker.updateHosts(List.of("only"));
			request(0);
			EligibilityTrackerTests.this.tracker.sendRequests();
			assertThat(EligibilityTrackerTests.this.tracker.queuedCount()).isZero();
			assertThat(this.sent).isZero();
		}

	}

}
