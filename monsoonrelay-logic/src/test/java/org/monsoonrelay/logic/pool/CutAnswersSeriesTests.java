package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against ends that a successor does not know because answers of the change feed
 * are cut or late. Owners are killed, stopped and silent in turn. By hand with more
 * seeds: {@code -Dcutanswers.first=1 -Dcutanswers.seeds=200}.
 */
class CutAnswersSeriesTests {

	private static final int JOBS = 200;

	private static final int MEAN_INTERVAL_MILLIS = 26;

	private static final int LOSSES = 4;

	private static final int WORKERS = 30;

	private static final int MAXIMUM_ATTEMPTS = 3;

	@TestFactory
	List<DynamicTest> noTaskStartsAfterItsLastEnd() {
		long first = Long.getLong("cutanswers.first", 1);
		return LongStream.range(first, first + Long.getLong("cutanswers.seeds", 5))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS);

		private final int maxRows;

		private final int maxDelayMillis;

		Play(long seed) {
			this.random = new Random(seed);
			this.maxRows = 1 + this.random.nextInt(40);
			this.maxDelayMillis = 1 + this.random.nextInt(60);
			this.cell.withRunMillis((task) -> 150 + Math.floorMod(task.hashCode(), 1200));
			this.cell.workers.setEndlessTasks(Play::isFailing);
			this.cell.workers.limitFailures(MAXIMUM_ATTEMPTS);
		}

		private static boolean isFailing(TaskKey task) {
			return Math.floorMod(task.hashCode(), 7) == 0;
		}

		void run() {
			this.cell.startOwnerAndStandby();
			this.cell.addScheduler();
			this.cell.schedulers.forEach(this::disturbFeed);
			this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS);
			for (int i = 0; i < JOBS; i++) {
				this.cell.submit("job" + i, MAXIMUM_ATTEMPTS, SimulatedCell.step(1 + this.random.nextInt(6), false));
				this.cell.time.runFor(this.random.nextInt(2 * MEAN_INTERVAL_MILLIS));
				if (i % (JOBS / LOSSES) == JOBS / LOSSES - 1) {
					loseOwner();
				}
			}
			this.cell.time.runFor(40_000);
			check();
		}

		private void disturbFeed(SimulatedCell.Scheduler scheduler) {
			int rows = 1 + this.random.nextInt(this.maxRows);
			if (this.random.nextBoolean()) {
				scheduler.tableClient.cutAnswersAfter(rows);
			}
			else {
				scheduler.tableClient.setFeedRows(rows);
			}
			scheduler.tableClient.setFeedDelay(this.random.nextInt(this.maxDelayMillis));
		}

		private void loseOwner() {
			for (int i = 0; i < 500 && !this.cell.hasOwner(); i++) {
				this.cell.time.runFor(20);
			}
			SimulatedCell.Scheduler owner = this.cell.owner();
			this.cell.time.runFor(this.random.nextInt(60));
			switch (this.random.nextInt(3)) {
				case 0 -> kill(owner);
				case 1 -> stop(owner);
				default -> suspend(owner);
			}
			this.cell.time.runFor(this.random.nextInt(1500));
		}

		private void stop(SimulatedCell.Scheduler owner) {
			owner.stop();
			this.cell.time.runFor(100);
			kill(owner);
		}

		private void kill(SimulatedCell.Scheduler owner) {
			owner.kill();
			disturbFeed(this.cell.restart(owner));
		}

		private void suspend(SimulatedCell.Scheduler owner) {
			owner.process.suspend();
			this.cell.time.runFor(3000);
			owner.process.resume();
			disturbFeed(this.cell.addScheduler());
		}

		private void check() {
			assertThat(this.cell.workers.violations()).isEmpty();
			for (int i = 0; i < JOBS; i++) {
				assertThat(this.cell.durableState("job" + i)).as("job" + i)
					.isIn(SubmissionState.COMPLETED, SubmissionState.FAILED);
			}
		}

	}

}
