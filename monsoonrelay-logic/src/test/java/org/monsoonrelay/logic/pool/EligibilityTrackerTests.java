package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

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

	private final Map<String, CompletableFuture<Map<String, String>>> calls = new HashMap<>();

	private final EligibilityTracker tracker = new EligibilityTracker((host, step, workers, timeout) -> {
		this.asked.add(step.job());
		return this.calls.computeIfAbsent(host, (name) -> new CompletableFuture<>());
	}, this.time, this.time.clock(), DecisionLog.NONE, (step) -> {
	});

	private void ask(String job, EligibilityTimes times, int rank) {
		this.tracker.ask(new StepKey(job, 0, 0), times, List.of("w"), rank);
	}

	@Test
	void theQueuesOrderDecidesAmongLongQuestionsWhateverTheyCost() {
		this.tracker.hosts(List.of("only"));
		ask("second", LONG, 1);
		ask("first", LONGEST, 0);
		this.tracker.dispatch();
		assertThat(this.asked).containsExactly("first");
	}

	@Test
	void anOpenQuestionFollowsItsStepsPlaceInTheQueue() {
		this.tracker.hosts(List.of("only"));
		ask("overtaken", LONG, 0);
		ask("urgent", LONGEST, 1);
		ask("urgent", LONGEST, 0);
		ask("overtaken", LONG, 1);
		this.tracker.dispatch();
		assertThat(this.asked).containsExactly("urgent");
	}

	@Test
	void shortQuestionsGoBeforeLongOnes() {
		this.tracker.hosts(List.of("only"));
		ask("long", LONG, 0);
		ask("short", SHORT, 1);
		this.tracker.dispatch();
		assertThat(this.asked).containsExactly("short");
	}

	@Test
	void aQuestionWhoseAnswerIsLateIsAskedThroughAnotherHostAndTheFirstAnswerCounts() {
		this.tracker.hosts(List.of("late", "other"));
		ask("job", SHORT, 0);
		this.tracker.dispatch();
		assertThat(this.calls).containsOnlyKeys("late");
		this.time.runFor(200);
		assertThat(this.calls).containsOnlyKeys("late", "other");
		this.calls.get("other").complete(Map.of("w", "ticket"));
		this.time.runFor(0);
		assertThat(this.tracker.of(new StepKey("job", 0, 0)).isAllowed("w")).isTrue();
		this.calls.get("late").completeExceptionally(new IllegalStateException("timeout"));
		this.time.runFor(1000);
		assertThat(this.tracker.of(new StepKey("job", 0, 0)).isAllowed("w")).isTrue();
		assertThat(this.asked).hasSize(2);
	}

	@Test
	void aQuestionThatFailsThroughAllItsHostsIsAskedAgain() {
		this.tracker.hosts(List.of("only"));
		ask("job", SHORT, 0);
		this.tracker.dispatch();
		this.calls.remove("only").completeExceptionally(new IllegalStateException("reset"));
		this.time.runFor(200);
		ask("job", SHORT, 0);
		this.tracker.dispatch();
		assertThat(this.asked).hasSize(2);
	}

}
