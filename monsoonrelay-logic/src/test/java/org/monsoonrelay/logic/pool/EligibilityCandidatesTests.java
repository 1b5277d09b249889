package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.stream.IntStream;

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

class EligibilityCandidatesTests {

	private static final Resources SIZE = new Resources(4000, 100, 0);

	private static PlacementContext context(String job, int tasks) {
		return context(job,
				new StepSpec(tasks, SIZE, 500, List.of(), false, false, "", "", 0, false, false, false, false));
	}

	private static PlacementContext longRunning(String job, boolean gang) {
		return context(job, new StepSpec(4, SIZE, 500, List.of(), gang, false, "", "", 0, false, false, true, false));
	}

	private static PlacementContext context(String job, StepSpec spec) {
		QueuePolicy policy = new QueuePolicy("q", "s", 0, 3, 2, 0, null);
		Submission submission = new Submission(job, policy, "", List.of(spec), Timetable.AT_ONCE, 0);
		ActiveStep step = new ActiveStep(new StepKey(job, 0, 0), new SubmittedJob(submission), 0);
		return new PlacementContext(step, IntStream.range(0, spec.count()).boxed().toList(), policy,
				StepEligibility.UNKNOWN, 0);
	}

	private static List<PoolWorker> workers(int count) {
		return IntStream.range(0, count)
			.mapToObj((i) -> new PoolWorker(
					new WorkerInfo("w" + i, "s", "a:1", "d", new Resources(16_000, 800, 0), List.of(), "r", false, 0)))
			.toList();
	}

	private static List<PoolWorker> openWorkers(int count) {
		List<PoolWorker> workers = workers(count);
		workers.forEach((worker) -> {
			worker.markReachable();
			worker.markRecorded();
		});
		return workers;
	}

	private static void fill(PoolWorker worker) {
		fill(worker, 4);
	}

	private static void leaveRoomForOne(PoolWorker worker) {
		fill(worker, 3);
	}

	private static void fill(PoolWorker worker, int slots) {
		for (int i = 0; i < slots; i++) {
			worker.add(Run.starting(new TaskKey("other", 0, 0, i), 1, worker.id(), SIZE, 0));
		}
	}

	@Test
	void includeAllWorkersOfASmallPool() {
		List<PoolWorker> pool = workers(33);
		assertThat(EligibilityCandidates.selectInitial(context("a", 2), pool)).isEqualTo(pool);
	}

	@Test
	void areThoseWithFreeCapacityInALargePool() {
		List<PoolWorker> pool = workers(200);
		pool.subList(0, 150).forEach(EligibilityCandidatesTests::fill);
		assertThat(EligibilityCandidates.selectInitial(context("a", 4), pool))
			.hasSize(EligibilityCandidates.DEFAULT_REQUEST_SIZE)
			.isSubsetOf(pool.subList(150, 200));
	}

	@Test
	void includeOthersIfTheyHaveCapacityAndEligibleOnesHaveNone() {
		List<PoolWorker> pool = openWorkers(200);
		pool.subList(0, 40).forEach(EligibilityCandidatesTests::fill);
		assertThat(EligibilityCandidates.selectAdditional(context("a", 4), pool.subList(0, 40), pool.subList(40, 200),
				false))
			.isNotEmpty();
	}

	// Guards against a long-running task that waits beside free capacity for good.
	@Test
	void includeOthersForALongRunningStepAlsoIfTheyHaveCapacityForOneTaskOnly() {
		List<PoolWorker> pool = openWorkers(41);
		pool.subList(0, 40).forEach(EligibilityCandidatesTests::fill);
		leaveRoomForOne(pool.get(40));
		assertThat(EligibilityCandidates.selectAdditional(longRunning("a", false), pool.subList(0, 40),
				pool.subList(40, 41), false))
			.containsExactly(pool.get(40));
	}

	@Test
	void excludeOthersWithCapacityForOneTaskForOtherStepsAndGangs() {
		List<PoolWorker> pool = openWorkers(41);
		pool.subList(0, 40).forEach(EligibilityCandidatesTests::fill);
		leaveRoomForOne(pool.get(40));
		for (PlacementContext context : List.of(context("a", 4), longRunning("a", true))) {
			assertThat(
					EligibilityCandidates.selectAdditional(context, pool.subList(0, 40), pool.subList(40, 41), false))
				.isEmpty();
		}
	}

	@Test
	void excludeOthersWithoutCapacityForALongRunningStep() {
		List<PoolWorker> pool = openWorkers(41);
		pool.forEach(EligibilityCandidatesTests::fill);
		assertThat(EligibilityCandidates.selectAdditional(longRunning("a", false), pool.subList(0, 40),
				pool.subList(40, 41), false))
			.isEmpty();
	}

	@Test
	void excludeOthersForAStepThatCanWaitForEligibleOnes() {
		List<PoolWorker> pool = openWorkers(200);
		pool.subList(0, 40).forEach(EligibilityCandidatesTests::fill);
		assertThat(EligibilityCandidates.selectAdditional(context("a", 4), pool.subList(0, 40), pool.subList(40, 200),
				true))
			.isEmpty();
	}

	@Test
	void includeOthersForAStepThatCanWaitIfEligibleOnesAreTooFew() {
		List<PoolWorker> pool = openWorkers(200);
		assertThat(
				EligibilityCandidates.selectAdditional(context("a", 4), pool.subList(0, 2), pool.subList(2, 200), true))
			.isNotEmpty();
	}

	@Test
	void includeMoreWorkersForAWiderStep() {
		assertThat(EligibilityCandidates.selectInitial(context("a", 60), workers(200))).hasSize(60);
		assertThat(EligibilityCandidates.selectInitial(context("a", 500), workers(200)))
			.hasSize(EligibilityCandidates.MAX_REQUEST_SIZE);
	}

	@Test
	void differFromStepToStep() {
		List<PoolWorker> pool = workers(200);
		assertThat(EligibilityCandidates.selectInitial(context("a", 2), pool))
			.isNotEqualTo(EligibilityCandidates.selectInitial(context("b", 2), pool));
	}

	// Guards against workers that seem to have no room at all, as a sum of theirs
	// overflows.
	@Test
	void countRoomBeyondTheRangeOfASum() {
		PlacementContext context = context("a",
				new StepSpec(4, Resources.NONE, 500, List.of(), true, false, "", "", 0, false, false, false, false));
		assertThat(EligibilityCandidates.freeSlots(context, openWorkers(3))).isEqualTo(Integer.MAX_VALUE);
		assertThat(EligibilityCandidates.canHoldAllTasks(context, openWorkers(3))).isTrue();
	}

}
