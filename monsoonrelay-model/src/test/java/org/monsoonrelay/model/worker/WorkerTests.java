package org.monsoonrelay.model.worker;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerTests {

	private static final Resources CAPACITY = new Resources(8, 64, 2);

	private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");

	private static final int ATTEMPTS = 6;

	private static AttemptId attempt(int number) {
		return new AttemptId(new JobId("roster", "1"), number % ATTEMPTS, 1);
	}

	private static Resources size(int number) {
		return new Resources(number % 5, (number * 7) % 40, number % 3);
	}

	@Group
	class UnderAnyOrderOfMessages {

		@Property(seed = "1", tries = 2000)
		void newWorkNeverRaisesCommitmentsAboveTheCapacity(
				@ForAll @Size(max = 60) List<@IntRange(max = 999) Integer> messages) {
			Scenario scenario = new Scenario();
			for (int message : messages) {
				Resources before = scenario.worker.committed();
				boolean grew = scenario.apply(message);
				Resources after = scenario.worker.committed();
				assertThat(grew || before.covers(after)).isTrue();
				assertThat(!grew || CAPACITY.covers(after)).isTrue();
			}
			scenario.worker.attempts().forEach(scenario.worker::release);
			assertThat(scenario.worker.committed()).isEqualTo(Resources.NONE);
		}

		@Property(seed = "2", tries = 2000)
		void attemptsInTheLatestReportAreAlwaysCommitted(
				@ForAll @Size(max = 60) List<@IntRange(max = 999) Integer> messages) {
			Scenario scenario = new Scenario();
			for (int message : messages) {
				scenario.apply(message);
				scenario.running.put(attempt(message), size(message / 7));
				scenario.report(scenario.incarnation);
				Resources sum = scenario.running.values().stream().reduce(Resources.NONE, Resources::plus);
				assertThat(scenario.worker.committed().covers(sum)).isTrue();
				scenario.running.keySet().removeIf((attempt) -> attempt.task() % 2 == message % 2);
			}
		}

		@Property(seed = "3", tries = 500)
		void aLateReportOfAnEarlierIncarnationIsIgnored(@ForAll @IntRange(max = 999) int number) {
			Scenario scenario = new Scenario();
			scenario.report(1);
			scenario.report(2);
			assertThat(scenario.worker.reserve(attempt(number), size(number), START)).isTrue();
			Resources before = scenario.worker.committed();

			assertThat(scenario.worker.applyReport("incarnation-1", Map.of())).isEmpty();

			assertThat(scenario.worker.committed()).isEqualTo(before);
			assertThat(scenario.worker.incarnation()).isEqualTo("incarnation-2");
		}

	}

	/**
	 * One worker and the attempts that actually run on it.
	 */
	private static final class Scenario {

		private final Worker worker = new Worker(new WorkerId("worker-1"), CAPACITY);

		private final Map<AttemptId, Resources> running = new HashMap<>();

		private Instant now = START;

		private int incarnation;

		void report(int number) {
			this.worker.applyReport("incarnation-" + number, Map.copyOf(this.running));
		}

		boolean apply(int message) {
			AttemptId attempt = attempt(message / 10);
			switch (message % 10) {
				case 0, 1, 2 -> {
					boolean held = this.worker.attempts().contains(attempt);
					return this.worker.reserve(attempt, size(message / 3), this.now.plusSeconds(5)) && !held;
				}
				case 3, 4 -> this.worker.grant(attempt);
				case 5 -> this.worker.release(attempt);
				case 6 -> this.worker.expireReservations(this.now);
				case 7 -> this.now = this.now.plusSeconds(message % 7);
				case 8 -> this.incarnation++;
				default -> report(this.incarnation);
			}
			return false;
		}

	}

}
