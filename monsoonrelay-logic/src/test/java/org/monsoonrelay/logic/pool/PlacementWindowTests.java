package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementWindowTests {

	private static final int JOBS = 10_000;

	private static final long NOW = 1_000_000;

	private static final QueuePolicy POLICY = new QueuePolicy("confirm", "salon", 0, 3, 2.0, 1000, null);

	private final JobRegistry jobs = new JobRegistry(1);

	private final QueueOrder order = new LeastSlackOrder();

	private final PlacementWindow window = new PlacementWindow(this.jobs, this.order);

	PlacementWindowTests() {
		this.jobs.observeOpenSteps(this.window);
	}

	private void submit(int count, String customer) {
		for (int i = 0; i < count; i++) {
			this.jobs.add(new Submission("%s-%05d".formatted(customer, i), POLICY, "text",
					List.of(SimulatedCell.step(1, false)), Timetable.AT_ONCE, NOW + (7919L * i) % count, customer),
					Optional.empty(), false);
		}
		this.jobs.updateSteps(NOW + JOBS);
	}

	private List<ActiveStep> front(PlacementWindow.Selection selected) {
		return selected.steps().stream().filter((step) -> !selected.behind().contains(step)).toList();
	}

	@Test
	void considersAShortQueueAsAWhole() {
		submit(PlacementWindow.MAX_FRONT_STEPS, "c1");
		PlacementWindow.Selection selected = this.window.select(NOW);
		assertThat(selected.steps()).hasSize(PlacementWindow.MAX_FRONT_STEPS);
		assertThat(selected.behind()).isEmpty();
	}

	@Test
	void considersTheFirstStepsOfALongQueueAlsoAfterTheirOrderHasChanged() {
		submit(JOBS, "c1");
		for (long now = NOW; now < NOW + 6000; now += 500) {
			long nowMillis = now;
			List<QueuePosition> positions = new ArrayList<>(
					this.jobs.openSteps().stream().map((step) -> position(step, nowMillis)).sorted().toList());
			assertThat(front(this.window.select(now)).stream().map((step) -> position(step, nowMillis)))
				.containsExactlyElementsOf(positions.subList(0, PlacementWindow.MAX_FRONT_STEPS));
		}
	}

	private QueuePosition position(ActiveStep step, long nowMillis) {
		return this.order.positionOf(step.queueEntry(), nowMillis);
	}

	@Test
	void considersTheFirstStepsOfEachCustomer() {
		submit(JOBS, "c1");
		submit(20, "c2");
		assertThat(front(this.window.select(NOW)).stream().map((step) -> step.job().submission().customer()))
			.hasSize(PlacementWindow.MAX_FRONT_STEPS)
			.filteredOn("c2"::equals)
			.hasSize(20);
	}

	@Test
	void considersEachStepBehindInTurn() {
		submit(JOBS, "c1");
		Set<ActiveStep> considered = new HashSet<>();
		for (int pass = 0; pass <= JOBS / PlacementWindow.MAX_STEPS_BEHIND; pass++) {
			PlacementWindow.Selection selected = this.window.select(NOW);
			assertThat(selected.behind()).hasSizeLessThanOrEqualTo(PlacementWindow.MAX_STEPS_BEHIND);
			considered.addAll(selected.steps());
		}
		assertThat(considered).hasSize(JOBS);
	}

	@Test
	void considersAStepBehindWhoseEligibilityIsAnsweredInTheNextPass() {
		submit(JOBS, "c1");
		List<ActiveStep> open = List.copyOf(this.jobs.openSteps());
		PlacementWindow.Selection selected = this.window.select(NOW);
		ActiveStep other = open.stream()
			.filter((step) -> !selected.steps().contains(step))
			.reduce((first, second) -> second)
			.orElseThrow();
		this.window.eligibilityAnswered(other.key());
		assertThat(this.window.select(NOW).behind()).contains(other);
		assertThat(this.window.select(NOW).passedOver()).contains(other.key());
	}

	@Test
	void considersNoStepThatWasClosed() {
		submit(JOBS, "c1");
		ActiveStep first = front(this.window.select(NOW)).get(0);
		this.jobs.cancel(first.job().id());
		this.jobs.updateSteps(NOW + JOBS);
		assertThat(this.window.select(NOW).steps()).doesNotContain(first).isNotEmpty();
	}

}
