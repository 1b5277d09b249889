package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Long-running tasks run again soon after they have ended, on any worker with room for
 * them, however full the other workers are.
 */
class LongRunningTasksTests {

	/** Users allow a long-running task this time without a run beside free capacity. */
	private static final long MAX_WAIT_MILLIS = 9000;

	/**
	 * Until a new owner knows what runs on all workers, and what waited for that runs.
	 */
	private static final long TAKE_OVER_MILLIS = 12_000;

	private static final long SAMPLE_MILLIS = 50;

	private final SimulatedCell cell = new SimulatedCell();

	private static StepSpec longRunning() {
		return longRunning(1, false);
	}

	private static StepSpec longRunning(int count, boolean gang) {
		return new StepSpec(count, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), gang, false, "", "", 0,
				false, false, true, false);
	}

	private static TaskKey taskOf(String job) {
		return new TaskKey(job, 0, 0, 0);
	}

	// Runs until a task runs, for the allowed time at most.
	private void awaitRun(String job) {
		for (long waited = 0; waited < MAX_WAIT_MILLIS && !isRunning(job); waited += SAMPLE_MILLIS) {
			this.cell.time.runFor(SAMPLE_MILLIS);
		}
	}

	private boolean isRunning(String job) {
		return this.cell.workers.runningTasks().contains(taskOf(job));
	}

	// Guards against a worker that is avoided for as long as runs from before fail.
	@Test
	void startAgainAlthoughOthersFailOnTheSameWorker() {
		Map<String, Long> firstRuns = Map.of("a", 1000L, "b", 1300L, "c", 1600L, "d", 5000L, "e", 8500L, "f", 12_000L);
		Set<String> begun = new HashSet<>();
		this.cell.withRunMillis((task) -> begun.add(task.job()) ? firstRuns.get(task.job()) : (long) Integer.MAX_VALUE);
		this.cell.workers.add("w0", new Resources(8000, 1000, 0)).setFailing(true);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		firstRuns.keySet().forEach((job) -> this.cell.submit(job, longRunning()));
		this.cell.time.runFor(1500);
		assertThat(isRunning("c")).isTrue();
		this.cell.time.runFor(200);
		assertThat(isRunning("c")).isFalse();
		awaitRun("c");
		assertThat(isRunning("c")).isTrue();
	}

	// Guards against a task that counts as complete although its job runs until it is
	// cancelled.
	@Test
	void startAgainAfterARunThatEndedAsDone() {
		Set<String> begun = new HashSet<>();
		this.cell.withRunMillis((task) -> begun.add(task.job()) ? 1000 : Integer.MAX_VALUE).withWorkers(2);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("a", longRunning());
		this.cell.time.runFor(2000);
		awaitRun("a");
		assertThat(isRunning("a")).isTrue();
	}

	// Guards against a worker that is never asked for as it has room for few tasks.
	@Test
	void startOnANewWorkerWithRoomForTwoWhileTheOthersAreFull() {
		this.cell.withEligibility(1, 300).withRunMillis(Integer.MAX_VALUE);
		this.cell.workers.add("small", SimulatedCell.TASK);
		this.cell.workers.add("full", SimulatedCell.CAPACITY);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("a", longRunning());
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.workerRunning(taskOf("a"))).isEqualTo("small");
		this.cell.submit("b", SimulatedCell.step(4, false));
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.runningTaskCount()).isEqualTo(5);
		this.cell.workers.crash("small");
		this.cell.workers.add("new", SimulatedCell.TASK.times(2));
		awaitRun("a");
		assertThat(this.cell.workers.workerRunning(taskOf("a"))).isEqualTo("new");
	}

	// Guards against a worker that is selected anew each time a start there is given up.
	@ParameterizedTest
	@ValueSource(longs = { 3000, 60_000 })
	void startElsewhereIfTheFirstWorkerStartsNothingInTime(long delayMillis) {
		this.cell.withRunMillis(Integer.MAX_VALUE).withWorkers(3);
		this.cell.workers.add("late", SimulatedCell.TASK).setStartDelayMillis(delayMillis);
		this.cell.addScheduler();
		this.cell.time.runFor(500);
		this.cell.submit("a", longRunning());
		awaitRun("a");
		assertThat(isRunning("a")).isTrue();
		this.cell.time.runFor(delayMillis);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	// Guards against members of a gang that wait for good for those lost with a worker.
	@ParameterizedTest
	@ValueSource(longs = { 10, 100, 3000, 60_000 })
	void ofAGangStartAgainIfOneIsLostTogetherWithTheOwner(long restartMillis) {
		this.cell.withRunMillis(Integer.MAX_VALUE).withWorkers(6);
		SimulatedCell.Scheduler owner = this.cell.startOwnerAndStandby();
		this.cell.time.runFor(1000);
		this.cell.submit("a", longRunning(6, true));
		this.cell.time.runFor(1000);
		assertThat(this.cell.workers.runningTaskCount()).isEqualTo(6);
		String lost = this.cell.workers.workerRunning(taskOf("a"));
		this.cell.workers.crashAndRestart(this.cell.workers.find(lost), restartMillis);
		owner.kill();
		this.cell.time.runFor(TAKE_OVER_MILLIS);
		assertThat(this.cell.workers.runningTaskCount()).isEqualTo(6);
		assertThat(this.cell.workers.violations()).isEmpty();
	}

}
