package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementRulesTests {

	private static final Resources SIZE = new Resources(1000, 100, 0);

	private static ActiveStep step(String id, long acceptedMillis, double slack, long runMillis, String dataRack) {
		return step(id, acceptedMillis, slack, runMillis, dataRack, false);
	}

	private static ActiveStep step(String id, long acceptedMillis, double slack, long runMillis, String dataRack,
			boolean longRunning) {
		StepSpec spec = new StepSpec(2, SIZE, runMillis, List.of(), false, false, "", dataRack, 0, false, false,
				longRunning, false);
		QueuePolicy policy = new QueuePolicy("q", "s", 0, 3, slack, 0, null);
		Submission submission = new Submission(id, policy, "", List.of(spec), Timetable.AT_ONCE, acceptedMillis);
		return new ActiveStep(new StepKey(id, 0, 0), new SubmittedJob(submission), 0);
	}

	@Nested
	class Order {

		private List<String> sorted(long nowMillis, ActiveStep... steps) {
			return Stream.of(steps)
				.map(QueueEntry::of)
				.sorted(new LeastSlackOrder().comparator(nowMillis))
				.map((waiting) -> waiting.step().job().id())
				.toList();
		}

		@Test
		void putsStepsWithTheEarliestLatestStartFirst() {
			ActiveStep muchSlack = step("roomy", 1000, 4, 1000, "");
			ActiveStep littleSlack = step("tight", 1500, 2, 500, "");
			assertThat(sorted(1600, muchSlack, littleSlack)).containsExactly("tight", "roomy");
		}

		@Test
		void putsLateStepsBehindThoseThatCanStillMeetTheirDeadline() {
			ActiveStep late = step("late", 1000, 2, 500, "");
			ActiveStep worthless = step("worthless", 0, 2, 100, "");
			ActiveStep young = step("young", 2300, 4, 1000, "");
			assertThat(sorted(2400, worthless, late, young)).containsExactly("young", "late", "worthless");
		}

	}

	@Nested
	class OrderOfLongRunningSteps {

		@Test
		void comeFirstHoweverOldTheirJobIs() {
			ActiveStep restarted = step("restarted", 0, 2, 500, "", true);
			ActiveStep littleSlack = step("tight", 60_000, 2, 500, "");
			List<String> sorted = Stream.of(littleSlack, restarted)
				.map(QueueEntry::of)
				.sorted(new LeastSlackOrder().comparator(60_100))
				.map((waiting) -> waiting.step().job().id())
				.toList();
			assertThat(sorted).containsExactly("restarted", "tight");
		}

	}

	@Nested
	class WorkerSelection {

		private final GangAwareBestFit selector = new GangAwareBestFit();

		private final GangDemand demand = new GangDemand();

		private PoolWorker worker(String id, String rack, int used) {
			PoolWorker worker = new PoolWorker(
					new WorkerInfo(id, "s", "a:1", "d", new Resources(8000, 800, 0), List.of(), rack, false, 0));
			for (int i = 0; i < used; i++) {
				worker.add(Run.starting(new TaskKey("other", 0, 0, i), 1, id, SIZE, 0));
			}
			return worker;
		}

		private String selected(ActiveStep step, PoolWorker... workers) {
			return this.selector.select(step, 0, List.of(workers), this.demand).orElseThrow().id();
		}

		@Test
		void takesTheFullestWorkerWithEnoughCapacity() {
			assertThat(selected(step("a", 0, 1, 1, ""), worker("empty", "r", 0), worker("full", "r", 6)))
				.isEqualTo("full");
		}

		@Test
		void avoidsTheWorkersThatGangsWaitFor() {
			this.demand.add("full");
			assertThat(selected(step("a", 0, 1, 1, ""), worker("empty", "r", 0), worker("full", "r", 6)))
				.isEqualTo("empty");
		}

		@Test
		void prefersWorkersNearTheData() {
			assertThat(selected(step("a", 0, 1, 1, "near"), worker("near", "near", 0), worker("far", "far", 6)))
				.isEqualTo("near");
		}

		@Test
		void avoidsTheWorkerOnWhichTheTaskFailed() {
			ActiveStep step = step("a", 0, 1, 1, "");
			step.recordFailure(0, "full");
			assertThat(selected(step, worker("empty", "r", 0), worker("full", "r", 6))).isEqualTo("empty");
		}

	}

	@Nested
	class WorkerCapacity {

		@Test
		void countsHeldCapacityAndRunsBeingStopped() {
			PoolWorker worker = new PoolWorker(
					new WorkerInfo("w", "s", "a:1", "d", new Resources(3000, 800, 0), List.of(), "r", false, 0));
			worker.markRecorded();
			worker.markReachable();
			Run run = Run.starting(new TaskKey("a", 0, 0, 0), 1, "w", SIZE, 0);
			worker.add(run);
			run.markStopping();
			worker.hold(new StepKey("b", 0, 0), SIZE, 100);
			assertThat(worker.canAccept(SIZE, 0)).isTrue();
			assertThat(worker.canAccept(SIZE.times(2), 0)).isFalse();
			worker.expireHolds(101);
			assertThat(worker.canAccept(SIZE.times(2), 0)).isTrue();
			worker.release(run.task());
			assertThat(worker.free()).isEqualTo(new Resources(3000, 800, 0));
		}

		@Test
		void isUnavailableUntilTheWorkerIsReachableAndRecorded() {
			PoolWorker worker = new PoolWorker(
					new WorkerInfo("w", "s", "a:1", "d", new Resources(3000, 800, 0), List.of(), "r", false, 0));
			assertThat(worker.canAccept(SIZE, 0)).isFalse();
			worker.markReachable();
			assertThat(worker.canAccept(SIZE, 0)).isFalse();
			worker.markRecorded();
			assertThat(worker.canAccept(SIZE, 0)).isTrue();
			worker.markLost();
			worker.markReachable();
			assertThat(worker.canAccept(SIZE, 0)).isFalse();
		}

	}

}
