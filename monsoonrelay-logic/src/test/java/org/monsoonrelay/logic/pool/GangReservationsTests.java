package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

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

class GangReservationsTests {

	private static final Resources SIZE = new Resources(4000, 100, 0);

	private static final long NO_SLACK = 0;

	private static final ToLongFunction<PoolWorker> SOON_EMPTY = (worker) -> 1000;

	// Each worker has capacity for four tasks.
	private final List<PoolWorker> workers = IntStream.range(0, 6)
		.mapToObj((i) -> new PoolWorker(
				new WorkerInfo("w" + i, "s", "a:1", "d", new Resources(16_000, 800, 0), List.of(), "r", false, 0)))
		.toList();

	private final GangReservations reservations = new GangReservations(GangReservations.SLACK_THRESHOLD_MILLIS, 4);

	GangReservationsTests() {
		this.workers.forEach((worker) -> {
			worker.markReachable();
			worker.markRecorded();
		});
	}

	private static PlacementContext gang(String job, int tasks) {
		StepSpec spec = new StepSpec(tasks, SIZE, 500, List.of(), true, false, "", "", 0, false, false, false, false);
		QueuePolicy policy = new QueuePolicy("q", "s", 0, 3, 2, 0, null);
		Submission submission = new Submission(job, policy, "", List.of(spec), Timetable.AT_ONCE, 0);
		ActiveStep step = new ActiveStep(new StepKey(job, 0, 0), new SubmittedJob(submission), 0);
		return new PlacementContext(step, IntStream.range(0, tasks).boxed().toList(), policy, StepEligibility.UNKNOWN,
				0);
	}

	private void occupy(int worker, int tasks) {
		for (int i = 0; i < tasks; i++) {
			this.workers.get(worker)
				.add(Run.starting(new TaskKey("other" + worker, 0, 0, i), 1, "w" + worker, SIZE, 0));
		}
	}

	private List<String> reserve(PlacementContext gang, long slackMillis) {
		return this.reservations.reserve(gang, this.workers, slackMillis, SOON_EMPTY)
			.stream()
			.map(PoolWorker::id)
			.toList();
	}

	@Nested
	class Reservation {

		@Test
		void takesTheFewestWorkersThatHoldTheGangThoseWithMostCapacityFirst() {
			occupy(0, 4);
			occupy(1, 3);
			occupy(2, 1);
			occupy(3, 2);
			occupy(4, 4);
			occupy(5, 4);
			assertThat(reserve(gang("a", 7), NO_SLACK)).containsExactly("w2", "w3");
		}

		@Test
		void excludesWorkersReservedForAnotherGang() {
			reserve(gang("a", 8), NO_SLACK);
			assertThat(reserve(gang("b", 8), NO_SLACK)).containsExactly("w2", "w3");
			assertThat(availableToGangs()).containsExactly("w4", "w5");
		}

		@Test
		void isMadeOnlyOnceTheWorkersWouldBeEmptyTooLate() {
			assertThat(reserve(gang("a", 8), 1001)).isEmpty();
			assertThat(reserve(gang("a", 8), 1000)).hasSize(2);
		}

		@Test
		void takesNoMoreThanTheMaximumShareOfThePool() {
			assertThat(reserve(gang("a", 20), NO_SLACK)).isEmpty();
			reserve(gang("b", 16), NO_SLACK);
			assertThat(reserve(gang("c", 1), NO_SLACK)).isEmpty();
		}

		@Test
		void isNotMadeForAGangThatThePoolCannotHold() {
			GangReservations largerReservations = new GangReservations(GangReservations.SLACK_THRESHOLD_MILLIS, 6);
			assertThat(
					largerReservations.reserve(gang("a", 25), GangReservationsTests.this.workers, NO_SLACK, SOON_EMPTY))
				.isEmpty();
		}

		private List<String> availableToGangs() {
			return GangReservationsTests.this.workers.stream()
				.filter(GangReservationsTests.this.reservations::isAvailableToGangs)
				.map(PoolWorker::id)
				.toList();
		}

	}

	@Nested
	class OtherSteps {

		private boolean mayUse(PoolWorker worker, long latestStartMillis) {
			PlacementContext context = gang("c", 1);
			QueueEntry entry = new QueueEntry(context.step(), 0, 0, latestStartMillis, 0);
			return GangReservationsTests.this.reservations.availableTo(entry, 0).test(worker);
		}

		@Test
		void mayNotUseReservedWorkersHoweverUrgentTheyAre() {
			reserve(gang("a", 4), NO_SLACK);
			assertThat(mayUse(GangReservationsTests.this.workers.get(0), 0)).isFalse();
			assertThat(mayUse(GangReservationsTests.this.workers.get(1), 0)).isTrue();
		}

		@Test
		void mayNotUseWorkersSetAsideWhileTheyHaveSlack() {
			PoolWorker setAside = GangReservationsTests.this.workers.get(0);
			GangReservationsTests.this.reservations.setAside(setAside);
			assertThat(mayUse(setAside, GangReservations.SLACK_THRESHOLD_MILLIS + 1)).isFalse();
			assertThat(mayUse(setAside, GangReservations.SLACK_THRESHOLD_MILLIS)).isTrue();
		}

	}

}
