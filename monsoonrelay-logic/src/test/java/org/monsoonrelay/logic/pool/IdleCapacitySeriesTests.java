package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.logic.pool.SimulatedWorkers.SimulatedWorker;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tasks that wait beside free workers after disturbances have ended:
 * crashed and unreachable workers, late starts, owners that are lost, suspended or
 * superseded unnoticed, and a table that is slow or leaves writes unanswered, overlapping
 * in short series. By hand with more seeds: {@code -Didle.first=1 -Didle.seeds=500}.
 */
class IdleCapacitySeriesTests {

	private static final int WORKERS = 33;

	private static final int SLOTS = 4;

	private static final int JOBS = 60;

	private static final int EARLY_LONG_RUNNING_JOBS = 6;

	private static final int MAX_DISTURBANCE_MILLIS = 10_000;

	/** Users expect waiting tasks to run 14 s after the end of all disturbances. */
	private static final long SETTLING_MILLIS = 14_000;

	/** Users allow a task to wait for this time beside free workers. */
	private static final long WAIT_MILLIS = 3000;

	private static final long SAMPLE_MILLIS = 250;

	@TestFactory
	List<DynamicTest> noTaskWaitsBesideFreeWorkers() {
		long first = Long.getLong("idle.first", 1);
		return LongStream.range(first, first + Long.getLong("idle.seeds", 16))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell();

		private final Map<String, Submission> jobs = new TreeMap<>();

		private final List<String> disturbances = new ArrayList<>();

		Play(long seed) {
			this.random = new Random(seed);
			this.cell.workers.setRestartedId(this.random.nextBoolean() ? RestartedId.SAME : RestartedId.NEW);
			this.cell.workers.setLosingLateRequests(true);
			this.cell.workers.setListDelayMillis(this.random.nextInt(2000));
			if (this.random.nextInt(4) > 0) {
				this.cell.withEligibility(0.35, 300);
			}
			int maxRunMillis = 500 + this.random.nextInt(4000);
			this.cell.withRunMillis(
					(task) -> isLongRunning(task.job()) ? Integer.MAX_VALUE : 100 + this.random.nextInt(maxRunMillis));
			for (int i = 0; i < WORKERS; i++) {
				this.cell.workers.add("w" + i, SimulatedCell.CAPACITY, "domain" + i % 3);
			}
		}

		void run() {
			this.cell.startOwnerAndStandby();
			this.cell.addScheduler();
			this.cell.time.runFor(1000);
			for (int i = 0; i < JOBS; i++) {
				submit(i);
				if (this.random.nextInt(3) == 0) {
					disturb();
				}
				this.cell.time.runFor(this.random.nextInt(800));
			}
			this.cell.time.runFor(MAX_DISTURBANCE_MILLIS);
			this.cell.workers.answerAllRequests();
			this.cell.time.runFor(SETTLING_MILLIS);
			List<String> waiting = waitingTasks();
			for (long millis = 0; millis < WAIT_MILLIS; millis += SAMPLE_MILLIS) {
				this.cell.time.runFor(SAMPLE_MILLIS);
				waiting.retainAll(waitingTasks());
			}
			assertThat(this.cell.workers.violations()).isEmpty();
			assertThat(waiting).as(() -> trace(waiting.get(0))).isEmpty();
		}

		private boolean isLongRunning(String job) {
			return this.jobs.get(job).steps().get(0).longRunning();
		}

		private void submit(int number) {
			List<StepSpec> steps = new ArrayList<>();
			if (number < EARLY_LONG_RUNNING_JOBS || number % 10 == 3) {
				steps.add(longRunning(2 + this.random.nextInt(8)));
			}
			else {
				int count = 1 + this.random.nextInt(3);
				for (int i = 0; i < count; i++) {
					int width = 1 + this.random.nextInt((this.random.nextInt(4) == 0) ? 24 : 6);
					steps.add(SimulatedCell.step(width, this.random.nextInt(8) == 0,
							(i > 0) ? new Integer[] { i - 1 } : new Integer[0]));
				}
			}
			String id = "job%02d".formatted(number);
			this.jobs.put(id, this.cell.submit(id, 3, steps.toArray(new StepSpec[0])));
		}

		private static StepSpec longRunning(int count) {
			return new StepSpec(count, SimulatedCell.TASK, SimulatedCell.RUN_MILLIS, List.of(), false, false, "", "", 0,
					false, false, true, false);
		}

		private void disturb() {
			switch (this.random.nextInt(13)) {
				case 0, 1, 2 -> crash(1 + this.random.nextInt(WORKERS / 5));
				case 3, 4 -> cutOff(1 + this.random.nextInt(WORKERS / 3));
				case 5 -> startLate(1 + this.random.nextInt(3));
				case 6, 7 -> loseOwner();
				case 8 -> during("slow table", (isSlow) -> this.cell.table.setWriteDelay(isSlow ? 900 : 0));
				case 9 -> suspendOwner();
				case 10 -> leaveWritesUnanswered();
				case 11, 12 -> supersedeUnnoticed();
				default -> throw new IllegalStateException();
			}
		}

		private void during(String name, Consumer<Boolean> set) {
			int millis = this.random.nextInt(MAX_DISTURBANCE_MILLIS);
			note(name + " for " + millis);
			set.accept(true);
			this.cell.time.schedule(() -> set.accept(false), millis, TimeUnit.MILLISECONDS);
		}

		private void note(String text) {
			this.disturbances.add(this.cell.time.millis() + " " + text);
		}

		private List<SimulatedWorker> anyWorkers(int count) {
			List<WorkerInfo> listed = new ArrayList<>(this.cell.workers.listedWorkers());
			Collections.shuffle(listed, this.random);
			return listed.stream().limit(count).map((info) -> this.cell.workers.find(info.id())).toList();
		}

		private void crash(int count) {
			for (SimulatedWorker worker : anyWorkers(count)) {
				note(worker.id() + " crashes");
				this.cell.workers.crashAndRestart(worker, this.random.nextInt(MAX_DISTURBANCE_MILLIS));
			}
		}

		private void cutOff(int count) {
			List<SimulatedCell.Scheduler> all = List.copyOf(this.cell.schedulers);
			for (SimulatedWorker worker : anyWorkers(count)) {
				during(worker.id() + " cut off", (isCut) -> all.forEach((scheduler) -> {
					if (isCut) {
						scheduler.workerClient.disconnect(worker.id());
					}
					else {
						scheduler.workerClient.reconnect(worker.id());
					}
				}));
			}
		}

		private void startLate(int count) {
			for (SimulatedWorker worker : anyWorkers(count)) {
				note(worker.id() + " starts tasks late");
				worker.setStartDelayMillis(this.random.nextInt(3000));
			}
		}

		private void loseOwner() {
			if (this.cell.hasOwner()) {
				replace(this.cell.owner());
			}
		}

		private void replace(SimulatedCell.Scheduler owner) {
			note("the owner is killed");
			owner.kill();
			this.cell.addScheduler();
		}

		private void suspendOwner() {
			if (this.cell.hasOwner()) {
				SimulatedProcess process = this.cell.owner().process;
				during("the owner is suspended", (isSuspended) -> {
					if (isSuspended) {
						process.suspend();
					}
					else {
						process.resume();
					}
				});
			}
		}

		private void leaveWritesUnanswered() {
			if (this.cell.hasOwner()) {
				InMemoryTable.Client table = this.cell.owner().tableClient;
				table.setAnswerDelay(MAX_DISTURBANCE_MILLIS);
				note("writes of the owner are not answered");
				this.cell.time.schedule(() -> table.setAnswerDelay(0), 500, TimeUnit.MILLISECONDS);
			}
		}

		private List<String> waitingTasks() {
			return new ArrayList<>(this.jobs.keySet().stream().flatMap((job) -> waitingTasks(job).stream()).toList());
		}

		// Neither the table nor a worker tells the owner of its successor, which is lost.
		private void supersedeUnnoticed() {
			if (!this.cell.hasOwner()) {
				return;
			}
			SimulatedCell.Scheduler former = this.cell.owner();
			leaveWritesUnanswered();
			note("the owner reaches no worker, and its successor is killed");
			List<String> cut = this.cell.workers.listedWorkers().stream().map(WorkerInfo::id).toList();
			cut.forEach(former.workerClient::disconnect);
			this.cell.time.schedule(() -> cut.forEach(former.workerClient::reconnect), MAX_DISTURBANCE_MILLIS,
					TimeUnit.MILLISECONDS);
			this.cell.time.schedule(() -> this.cell.schedulers.stream()
				.filter((scheduler) -> scheduler != former && scheduler.owner().isPresent())
				.findFirst()
				.ifPresent(this::replace), 2500 + this.random.nextInt(1500), TimeUnit.MILLISECONDS);
		}

		// Tasks of the first step that is not complete, if there is capacity for it
		// twice.
		private List<String> waitingTasks(String job) {
			if (this.cell.durableState(job).isFinal()) {
				return List.of();
			}
			List<TaskKey> running = this.cell.workers.runningTasks()
				.stream()
				.filter((task) -> task.job().equals(job))
				.toList();
			StepKey step = new StepKey(job, 0, this.cell.completedSteps(job));
			StepSpec spec = this.jobs.get(job).steps().get(step.step());
			int required = 2 * (spec.gang() ? spec.count() : 1);
			if ((!spec.longRunning() && !running.isEmpty()) || freeSlots(step) < required) {
				return List.of();
			}
			return IntStream.range(0, spec.count())
				.mapToObj(step::task)
				.filter((task) -> !running.contains(task))
				.map(TaskKey::toString)
				.toList();
		}

		private int freeSlots(StepKey step) {
			return this.cell.workers.listedWorkers()
				.stream()
				.filter((worker) -> this.cell.isEligible(step, worker.id()))
				.map((worker) -> this.cell.workers.find(worker.id()))
				.filter((worker) -> !worker.isCrashed())
				.mapToInt((worker) -> SLOTS - worker.runningCount())
				.sum();
		}

		private String trace(String task) {
			List<String> lines = this.cell.logs.story(TaskKey.parse(task).job())
				.lines()
				.stream()
				.map(Object::toString)
				.toList();
			return String.join("\n", this.disturbances) + '\n' + String.join("\n", lines);
		}

	}

}
