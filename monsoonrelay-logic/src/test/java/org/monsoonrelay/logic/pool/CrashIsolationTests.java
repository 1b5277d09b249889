package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tasks that only met crashes of their workers run again soon after the last of these
 * workers is back, although suspected tasks are kept apart.
 */
@ParameterizedClass
@EnumSource(RestartedId.class)
class CrashIsolationTests {

	/** Target for long-running tasks while there is capacity for them, milliseconds. */
	private static final long MAX_WAIT_MILLIS = 9000;

	private static final long MAX_CRASHES_MILLIS = 60_000;

	private static final TaskKey LASTING = task("lasting", 0);

	private final SimulatedCell cell = new SimulatedCell().withRunMillis(1_000_000);

	CrashIsolationTests(RestartedId restartedId) {
		this.cell.workers.setRestartedId(restartedId);
	}

	private static TaskKey task(String job, int index) {
		return new TaskKey(job, 0, 0, index);
	}

	private static List<TaskKey> tasks(String job, int count) {
		return IntStream.range(0, count).mapToObj((index) -> task(job, index)).toList();
	}

	private static StepSpec longRunning(int count) {
		StepSpec step = SimulatedCell.step(count, false);
		return new StepSpec(count, step.size(), step.estimateMillis(), List.of(), false, false, "", "", 0, false, false,
				true, false);
	}

	private static StepSpec gangOnSeparateWorkers(int count) {
		StepSpec step = SimulatedCell.step(count, true);
		return new StepSpec(count, step.size(), step.estimateMillis(), List.of(), true, false, "", "", 1, false, false,
				false, false);
	}

	private void startCell(int workers) {
		this.cell.withWorkers(workers).addScheduler();
		this.cell.time.runFor(500);
	}

	private void crashAtFirstStarts(int starts, Collection<TaskKey> tasks) {
		new CrashingTasks(this.cell, (task) -> tasks.contains(task) && this.cell.workers.startCount(task) <= starts);
	}

	private void awaitCrashes(int starts, Collection<TaskKey> tasks) {
		long end = this.cell.time.millis() + MAX_CRASHES_MILLIS;
		while (this.cell.time.millis() < end && !haveMetCrashes(starts, tasks)) {
			this.cell.time.runFor(10);
		}
		assertThat(tasks).allMatch((task) -> this.cell.workers.startCount(task) >= starts);
	}

	private boolean haveMetCrashes(int starts, Collection<TaskKey> tasks) {
		return tasks.stream()
			.allMatch((task) -> this.cell.workers.startCount(task) > starts
					|| (this.cell.workers.startCount(task) == starts && !isRunning(task)))
				&& this.cell.workers.listedWorkers()
					.stream()
					.noneMatch((worker) -> this.cell.workers.find(worker.id()).isCrashed());
	}

	private boolean isRunning(TaskKey task) {
		return this.cell.workers.runningTasks().contains(task);
	}

	private void assertRunningInTime(Collection<TaskKey> tasks) {
		this.cell.time.runFor(MAX_WAIT_MILLIS);
		assertThat(this.cell.workers.runningTasks()).containsAll(tasks);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	private void startIsolatedLongRunningTask() {
		this.cell.submit(LASTING.job(), longRunning(1));
		awaitCrashes(2, List.of(LASTING));
		this.cell.time.runFor(1500);
		assertThat(this.cell.workers.startCount(LASTING)).isEqualTo(3);
		assertThat(isRunning(LASTING)).isTrue();
	}

	@Nested
	class LongRunningTasksThatMetTwoCrashes {

		@ParameterizedTest
		@ValueSource(ints = { 6, 16, 24 })
		void runAgainIfTheyBelongToSeveralJobs(int workers) {
			List<TaskKey> tasks = IntStream.range(0, 6).mapToObj((job) -> task("job" + job, 0)).toList();
			crashAtFirstStarts(2, tasks);
			startCell(workers);
			tasks.forEach((task) -> CrashIsolationTests.this.cell.submit(task.job(), longRunning(1)));
			awaitCrashes(2, tasks);
			assertRunningInTime(tasks);
		}

		@ParameterizedTest
		@ValueSource(ints = { 6, 12 })
		void runAgainIfTheyBelongToOneJob(int count) {
			List<TaskKey> tasks = tasks("lasting", count);
			crashAtFirstStarts(2, tasks);
			startCell(24);
			CrashIsolationTests.this.cell.submit("lasting", longRunning(count));
			awaitCrashes(2, tasks);
			assertRunningInTime(tasks);
		}

		@Test
		void waitWhileTheWorkerOfOneThatHasJustStartedDoesNotAnswer() {
			SimulatedCell cell = CrashIsolationTests.this.cell;
			List<TaskKey> tasks = List.of(task("a", 0), task("b", 0));
			crashAtFirstStarts(2, tasks);
			startCell(6);
			tasks.forEach((task) -> cell.submit(task.job(), longRunning(1)));
			awaitCrashes(2, tasks);
			cell.time.runFor(700);
			assertThat(cell.workers.runningTasks()).containsExactly(tasks.get(0));
			cell.owner().workerClient.disconnect(cell.workers.workerRunning(tasks.get(0)));
			cell.time.runFor(6000);
			assertThat(cell.workers.runningTasks()).containsExactly(tasks.get(0));
		}

	}

	@Nested
	class OtherTasks {

		@Test
		void runIfTheyAreSuspectedAndAllWorkersRunSuspectedLongRunningTasks() {
			List<TaskKey> tasks = List.of(task("a", 0), task("b", 0), task("finite", 0));
			crashAtFirstStarts(1, tasks);
			startCell(2);
			CrashIsolationTests.this.cell.submit("a", longRunning(1));
			CrashIsolationTests.this.cell.submit("b", longRunning(1));
			CrashIsolationTests.this.cell.submit("finite", SimulatedCell.step(1, false));
			awaitCrashes(1, tasks);
			assertRunningInTime(tasks);
		}

		@Test
		void runIfTheirGangHasAnIsolatedMemberBesideAnIsolatedLongRunningTask() {
			List<TaskKey> tasks = new ArrayList<>(tasks("gang", 3));
			crashAtFirstStarts(2, List.of(LASTING, tasks.get(2)));
			startCell(6);
			startIsolatedLongRunningTask();
			CrashIsolationTests.this.cell.submit("gang", gangOnSeparateWorkers(3));
			awaitCrashes(2, List.of(tasks.get(2)));
			tasks.add(LASTING);
			assertRunningInTime(tasks);
		}

		@Test
		void runBesideAnIsolatedLongRunningTaskIfNoOtherWorkerHasRoom() {
			crashAtFirstStarts(2, List.of(LASTING));
			startCell(1);
			startIsolatedLongRunningTask();
			CrashIsolationTests.this.cell.submit("other", SimulatedCell.step(1, false));
			assertRunningInTime(List.of(LASTING, task("other", 0)));
		}

		@Test
		void leaveTheWorkerOfAnIsolatedTaskAloneWhileOthersHaveRoom() {
			TaskKey crashing = task("bad", 0);
			crashAtFirstStarts(2, List.of(LASTING));
			startCell(6);
			startIsolatedLongRunningTask();
			new CrashingTasks(CrashIsolationTests.this.cell, crashing::equals);
			CrashIsolationTests.this.cell.submit(crashing.job(), SimulatedCell.step(1, false));
			CrashIsolationTests.this.cell.time.runFor(3 * CrashingTasks.RESTART_MILLIS + MAX_WAIT_MILLIS);
			assertThat(CrashIsolationTests.this.cell.durableState(crashing.job())).isEqualTo(SubmissionState.FAILED);
			assertThat(isRunning(LASTING)).isTrue();
			assertThat(CrashIsolationTests.this.cell.workers.startCount(LASTING)).isEqualTo(3);
		}

	}

}
