package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.pool.LongRunningTaskWatch.Wait;
import org.monsoonrelay.logic.pool.SimulatedCell.Scheduler;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.logic.pool.SimulatedWorkers.SimulatedWorker;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against long-running tasks that wait beside free workers after a series of
 * disturbances that ends with lost workers and a lost owner within two seconds, while
 * tickets expire. They are looked at all through the calm after it. By hand with more
 * seeds: {@code -Dlongrunning.first=1 -Dlongrunning.seeds=500}; each seed logs its
 * longest wait.
 */
class LongRunningTaskSeriesTests {

	private static final System.Logger LOGGER = System.getLogger(LongRunningTaskSeriesTests.class.getName());

	private static final int WORKERS = 33;

	private static final int SLOTS = 4;

	private static final int SCHEDULERS = 4;

	private static final int MIN_LONG_RUNNING_JOBS = 8;

	private static final long SAMPLE_MILLIS = 200;

	private static final int FIRST_DISTURBANCE_MILLIS = 9000;

	private static final int DISTURBANCES_MILLIS = 9000;

	private static final int ENDING_MILLIS = 20_000;

	/** Calm time in which tasks are looked at, milliseconds. */
	private static final long CALM_MILLIS = 22_000;

	@TestFactory
	List<DynamicTest> noLongRunningTaskWaitsBesideFreeWorkers() {
		long first = Long.getLong("longrunning.first", 1);
		return LongStream.range(first, first + Long.getLong("longrunning.seeds", 16))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final long seed;

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell();

		private final LongRunningTaskWatch watch = new LongRunningTaskWatch(this.cell, this::freeSlots);

		private final Map<String, StepSpec> longRunning = new TreeMap<>();

		private final List<String> disturbances = new ArrayList<>();

		private final boolean registersStandbys;

		private final int jobMillis;

		private final long beginMillis = this.cell.time.millis();

		Play(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			this.cell.workers.setRestartedId(this.random.nextBoolean() ? RestartedId.SAME : RestartedId.NEW);
			this.cell.workers.setLosingLateRequests(true);
			this.cell.workers.setEndlessTasks((task) -> this.longRunning.containsKey(task.job()));
			this.cell.workers.setListDelayMillis(this.random.nextInt(2000));
			this.registersStandbys = this.random.nextInt(4) > 0;
			this.jobMillis = useEligibility();
			int maxRunMillis = 500 + this.random.nextInt(4000);
			this.cell.withRunMillis((task) -> runMillis(task, maxRunMillis));
			for (int i = 0; i < WORKERS; i++) {
				this.cell.workers.add("w" + i, SimulatedCell.CAPACITY, "domain" + i % 3);
			}
		}

		// Returns the mean time between ordinary jobs, which leave the service capacity.
		private int useEligibility() {
			double share = 0.3 + 0.2 * this.random.nextDouble();
			int validMillis = 2000 + this.random.nextInt(1000);
			switch (this.random.nextInt(5)) {
				case 0 -> {
					this.cell.withEligibility(share, new EligibilityTimes(8, 0.1, validMillis));
					return 600;
				}
				case 1, 2, 3 -> {
					this.cell.withEligibility(share, new EligibilityTimes(430, 6, validMillis));
					return 800;
				}
				default -> {
					return 600;
				}
			}
		}

		private long runMillis(TaskKey task, int maxRunMillis) {
			if (!this.longRunning.containsKey(task.job())) {
				return 100 + this.random.nextInt(maxRunMillis);
			}
			return (this.random.nextInt(10) > 0) ? Integer.MAX_VALUE : 1000 + this.random.nextInt(20_000);
		}

		void run() {
			for (int i = 0; i < SCHEDULERS; i++) {
				this.cell.addScheduler();
				runFor(500);
			}
			runFor(1000);
			for (int i = MIN_LONG_RUNNING_JOBS + this.random.nextInt(5); i > 0; i--) {
				String id = "long" + i;
				this.longRunning.put(id, new StepSpec(3 + this.random.nextInt(6), SimulatedCell.TASK,
						SimulatedCell.RUN_MILLIS, List.of(), false, false, "", "", 0, false, false, true, false));
				this.cell.submit(id, 5, this.longRunning.get(id));
				runFor(this.random.nextInt(300));
			}
			scheduleOrdinaryJobs(0);
			for (int i = 2 + this.random.nextInt(5); i > 0; i--) {
				at(FIRST_DISTURBANCE_MILLIS + this.random.nextInt(DISTURBANCES_MILLIS), this::disturb);
			}
			at(ENDING_MILLIS, this::end);
			runFor(this.beginMillis + ENDING_MILLIS + SAMPLE_MILLIS - this.cell.time.millis());
			while (this.cell.time.millis() < this.watch.disturbedUntilMillis() + CALM_MILLIS) {
				runFor(SAMPLE_MILLIS);
			}
			check();
		}

		private void at(long millis, Runnable action) {
			this.cell.time.schedule(action, this.beginMillis + millis - this.cell.time.millis(), TimeUnit.MILLISECONDS);
		}

		private void after(long millis, Runnable action) {
			this.cell.time.schedule(action, millis, TimeUnit.MILLISECONDS);
		}

		private void runFor(long millis) {
			for (long left = millis; left > 0; left -= SAMPLE_MILLIS) {
				this.cell.time.runFor(Math.min(left, SAMPLE_MILLIS));
				this.longRunning.forEach((job, step) -> {
					if (!this.cell.durableState(job).isFinal()) {
						this.watch.sample(job, step.count());
					}
				});
				if (this.registersStandbys) {
					living().filter((scheduler) -> scheduler.owner().isPresent())
						.forEach((owner) -> owner
							.registerStandbys(living().filter((other) -> other != owner).toArray(Scheduler[]::new)));
				}
			}
		}

		private Stream<Scheduler> living() {
			return this.cell.schedulers.stream().filter((scheduler) -> !scheduler.isKilled());
		}

		private void scheduleOrdinaryJobs(int number) {
			after(1 + this.random.nextInt(2 * this.jobMillis), () -> {
				int width = 1 + this.random.nextInt((this.random.nextInt(4) == 0) ? 16 : 6);
				StepSpec step = SimulatedCell.step(width, this.random.nextInt(8) == 0);
				if (this.random.nextInt(3) == 0) {
					this.cell.submit("job" + number, step, SimulatedCell.step(width, false, 0));
				}
				else {
					this.cell.submit("job" + number, step);
				}
				scheduleOrdinaryJobs(number + 1);
			});
		}

		private void disturb() {
			switch (this.random.nextInt(9)) {
				case 0 -> loseWorkers(1 + this.random.nextInt(WORKERS / 6));
				case 1, 2 -> loseOwner();
				case 3 -> during("silent table", 2000, this.cell.table::setDown);
				case 4 -> during("slow table", 3000, (isSlow) -> this.cell.table.setWriteDelay(isSlow ? 900 : 0));
				case 5 ->
					anyWorkers(1 + this.random.nextInt(3)).forEach((worker) -> during(worker.id() + " starts late",
							3000, (isLate) -> worker.setStartDelayMillis(isLate ? 700 : 0)));
				case 6 -> living().skip(this.random.nextInt(SCHEDULERS - 1)).findFirst().ifPresent(this::kill);
				case 7 -> crash(1 + this.random.nextInt(WORKERS / 6));
				case 8 -> cutOff(1 + this.random.nextInt(WORKERS / 4));
				default -> throw new IllegalStateException();
			}
		}

		private void end() {
			int gapMillis = this.random.nextInt(4000) - 2000;
			after(Math.max(0, -gapMillis),
					() -> loseWorkers(WORKERS * 15 / 100 + this.random.nextInt(WORKERS * 15 / 100 + 1)));
			after(Math.max(0, gapMillis), () -> {
				if (this.random.nextInt(6) == 0) {
					living().toList().forEach(this::kill);
				}
				else {
					loseOwner();
					loseNextOwners(this.cell.recordedOwner(), this.random.nextInt(3));
				}
			});
			this.watch.disturbedUntil(this.cell.time.millis() + Math.abs(gapMillis));
		}

		// Kills each owner some time after it took the pool over.
		private void loseNextOwners(Optional<Scheduler> lost, int count) {
			if (count == 0) {
				return;
			}
			Optional<Scheduler> next = this.cell.recordedOwner().filter((owner) -> !lost.equals(Optional.of(owner)));
			if (next.isEmpty()) {
				after(50, () -> loseNextOwners(lost, count));
				return;
			}
			after(100 + this.random.nextInt(1500), () -> {
				kill(next.get());
				loseNextOwners(next, count - 1);
			});
		}

		private void loseOwner() {
			Optional<Scheduler> recorded = this.cell.recordedOwner();
			if (recorded.isEmpty()) {
				return;
			}
			Scheduler owner = recorded.get();
			switch (this.random.nextInt(5)) {
				case 0, 1 -> kill(owner);
				case 2 -> during("the table turns the owner away", 3000, owner.tableClient::setRejectsRequests);
				case 3 -> during("the owner is cut off from the table", 3000, owner.tableClient::setDisconnected);
				case 4 -> during("the owner is suspended", 3000, (isSuspended) -> {
					if (isSuspended) {
						owner.process.suspend();
					}
					else {
						owner.process.resume();
					}
				});
				default -> throw new IllegalStateException();
			}
		}

		private void kill(Scheduler scheduler) {
			if (!scheduler.isKilled()) {
				scheduler.kill();
				during("s" + this.cell.schedulers.indexOf(scheduler) + " is down", 300 + this.random.nextInt(700), 0,
						(isDown) -> {
							if (!isDown) {
								this.cell.restart(scheduler);
							}
						});
			}
		}

		private void during(String name, int maxMillis, Consumer<Boolean> set) {
			during(name, maxMillis / 5, maxMillis - maxMillis / 5, set);
		}

		private void during(String name, int minMillis, int spanMillis, Consumer<Boolean> set) {
			int millis = minMillis + ((spanMillis > 0) ? this.random.nextInt(spanMillis) : 0);
			this.watch.disturbedUntil(this.cell.time.millis() + millis);
			this.disturbances.add(seconds(this.cell.time.millis()) + " " + name + " for " + millis);
			set.accept(true);
			after(millis, () -> set.accept(false));
		}

		private List<SimulatedWorker> anyWorkers(int count) {
			List<WorkerInfo> listed = new ArrayList<>(this.cell.workers.listedWorkers());
			Collections.shuffle(listed, this.random);
			return listed.stream()
				.map((info) -> this.cell.workers.find(info.id()))
				.filter((worker) -> !worker.isCrashed() && !worker.isDark())
				.limit(count)
				.toList();
		}

		private void loseWorkers(int count) {
			int kind = this.random.nextInt(3);
			for (SimulatedWorker worker : anyWorkers(count)) {
				switch (kind) {
					case 0 -> during(worker.id() + " is dark", 5000, worker::setDark);
					case 1 -> crash(worker, 500 + this.random.nextInt(2500));
					default -> loseForGood(worker);
				}
			}
		}

		private void loseForGood(SimulatedWorker worker) {
			this.watch.disturbedUntil(this.cell.time.millis());
			this.disturbances.add(seconds(this.cell.time.millis()) + " " + worker.id() + " is lost for good");
			worker.crash();
			after(500 + this.random.nextInt(2000), worker::removeFromList);
		}

		private void crash(int count) {
			anyWorkers(count).forEach((worker) -> crash(worker, 500 + this.random.nextInt(5000)));
		}

		private void crash(SimulatedWorker worker, int millis) {
			this.watch.disturbedUntil(this.cell.time.millis() + millis);
			this.disturbances.add(seconds(this.cell.time.millis()) + " " + worker.id() + " crashes for " + millis);
			this.cell.workers.crashAndRestart(worker, millis);
		}

		private void cutOff(int count) {
			List<Scheduler> all = List.copyOf(this.cell.schedulers);
			for (SimulatedWorker worker : anyWorkers(count)) {
				during(worker.id() + " cut off", 4000, (isCut) -> all.forEach((scheduler) -> {
					if (isCut) {
						scheduler.workerClient.disconnect(worker.id());
					}
					else {
						scheduler.workerClient.reconnect(worker.id());
					}
				}));
			}
		}

		private int freeSlots(StepKey step) {
			return this.cell.workers.listedWorkers()
				.stream()
				.map((info) -> this.cell.workers.find(info.id()))
				.filter((worker) -> !worker.isCrashed() && !worker.isDark() && this.cell.isEligible(step, worker.id()))
				.mapToInt((worker) -> SLOTS - worker.runningCount())
				.sum();
		}

		private void check() {
			List<Wait> faults = this.watch.faults();
			String closest = this.watch.allWaits()
				.stream()
				.filter((wait) -> wait.endMillis > this.beginMillis + ENDING_MILLIS)
				.map(this::describe)
				.findFirst()
				.orElse("none waited");
			LOGGER.log(System.Logger.Level.INFO, "seed {0}: {1} tasks waited too long; {2}", Long.toString(this.seed),
					faults.size(), closest);
			assertThat(this.cell.workers.violations()).isEmpty();
			assertThat(faults.stream().map((wait) -> wait.task.toString()).toList()).as(() -> trace(faults.get(0)))
				.isEmpty();
		}

		private String describe(Wait wait) {
			return "%s overdue by %d ms, without a run from %s to %s, disturbed until %s".formatted(wait.task,
					wait.overdueMillis, seconds(wait.beginMillis),
					(wait.endMillis < Long.MAX_VALUE) ? seconds(wait.endMillis) : "the end",
					seconds(wait.disturbedMillis));
		}

		private String trace(Wait wait) {
			long sinceMillis = Math.min(wait.beginMillis, wait.disturbedMillis) - 3000;
			String decisions = this.cell.logs.entries()
				.stream()
				.filter((entry) -> entry.millis() >= sinceMillis && entry.millis() <= wait.endMillis)
				.filter((entry) -> tells(entry.decision(), wait.task.job(), wait.task.toString()))
				.map((entry) -> seconds(entry.millis()) + " " + entry.process() + " " + entry.decision())
				.collect(Collectors.joining("\n"));
			return describe(wait) + '\n' + String.join("\n", this.disturbances) + '\n' + decisions;
		}

		private static boolean tells(Object decision, String job, String task) {
			String text = decision.toString();
			boolean isOfPool = decision instanceof PoolDecision.OwnershipTaken
					|| decision instanceof PoolDecision.OwnershipSettled
					|| decision instanceof PoolDecision.OwnershipLost
					|| decision instanceof PoolDecision.WorkersAccounted || text.startsWith("RecoveryStarted")
					|| text.startsWith("InheritedWorkerLost") || decision instanceof PoolDecision.StepsWaiting
					|| text.startsWith("OwnershipUnconfirmed") || text.startsWith("OwnershipConfirmed");
			boolean isOfJob = text.contains("job=" + job + ",")
					&& (!text.contains("task=") || text.contains(task + ","));
			return isOfPool || isOfJob;
		}

		private String seconds(long millis) {
			return "%.3f".formatted((millis - this.beginMillis) / 1000.0);
		}

	}

}
