package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
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

	private final EligibilityTracker tracker = new EligibilityTracker((host, step, workers, timeout) -> {
		this.asked.add(step.job());
		return new CompletableFuture<Map<String, String>>();
	}, this.time, this.time.clock(), DecisionLog.NONE, (step) -> {
	});

	private void ask(String job, EligibilityTimes times, int rank) {
		this.tracker.ask(new StepKey(job, 0, 0), times, () -> List.of("w"), rank);
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

}
