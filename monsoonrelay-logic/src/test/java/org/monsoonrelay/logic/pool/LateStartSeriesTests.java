package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicContainer;
import org.junit.jupiter.api.DynamicNode;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.pool.SimulatedWorkers.RestartedId;
import org.monsoonrelay.logic.pool.SimulatedWorkers.SimulatedWorker;
import org.monsoonrelay.model.submission.SubmissionState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tasks that run twice because the next incarnation of a worker executes
 * starts that were sent to the former one. By hand with more seeds:
 * {@code -Dlatestarts.first=1 -Dlatestarts.seeds=500}.
 */
class LateStartSeriesTests {

	private static final int WORKERS = 6;

	private static final int JOBS = 40;

	private static final int MIN_DELAY_MILLIS = 200;

	private static final int MAX_DELAY_MILLIS = 2800;

	private static final int MAX_RESTART_MILLIS = 1000;

	@TestFactory
	Stream<DynamicNode> noTaskRunsTwice() {
		return Stream.of(Disturbance.values())
			.map((disturbance) -> DynamicContainer.dynamicContainer(disturbance.name(), tests(disturbance)));
	}

	private static List<DynamicTest> tests(Disturbance disturbance) {
		long first = Long.getLong("latestarts.first", 1);
		return LongStream.range(first, first + Long.getLong("latestarts.seeds", 20))
			.mapToObj((seed) -> DynamicTest.dynamicTest(disturbance + " seed " + seed,
					() -> new Play(seed, disturbance).run()))
			.toList();
	}

	/** What happens besides late starts and restarts of workers under their ids. */
	private enum Disturbance {

		NOTHING_ELSE, LOST_RESPONSES, OWNER_KILLED, LATE_POLLS

	}

	private static final class Play {

		private final Random random;

		private final Disturbance disturbance;

		private final SimulatedCell cell = new SimulatedCell().withWorkers(WORKERS);

		Play(long seed, Disturbance disturbance) {
			this.random = new Random(seed);
			this.disturbance = disturbance;
			this.cell.workers.setRestartedId(RestartedId.SAME);
		}

		void run() {
			this.cell.startOwnerAndStandby();
			for (int i = 0; i < JOBS; i++) {
				this.cell.submit("job" + i,
						SimulatedCell.step(1 + this.random.nextInt(4), this.random.nextInt(4) == 0));
				disturb(i);
				this.cell.time.runFor(this.random.nextInt(400));
			}
			this.cell.workers.answerAllRequests();
			this.cell.time.runFor(60_000);
			check();
		}

		private void disturb(int submitted) {
			SimulatedWorker worker = worker();
			if (this.random.nextInt(2) == 0) {
				worker.setStartDelayMillis(MIN_DELAY_MILLIS + this.random.nextInt(MAX_DELAY_MILLIS - MIN_DELAY_MILLIS));
			}
			if (this.disturbance == Disturbance.LOST_RESPONSES && this.random.nextInt(3) == 0) {
				worker().setLosesStartResponses(true);
			}
			if (this.disturbance == Disturbance.LATE_POLLS && this.random.nextInt(4) == 0) {
				worker().setPollDelayMillis(this.random.nextInt(MAX_DELAY_MILLIS));
			}
			if (this.disturbance == Disturbance.OWNER_KILLED && submitted == JOBS / 2) {
				this.cell.owner().kill();
				this.cell.addScheduler();
			}
			if (submitted % 2 == 1) {
				this.cell.workers.crashAndRestart(worker(), 1 + this.random.nextInt(MAX_RESTART_MILLIS));
			}
		}

		private SimulatedWorker worker() {
			return this.cell.workers.find("w" + this.random.nextInt(WORKERS));
		}

		private void check() {
			assertThat(this.cell.workers.violations()).isEmpty();
			for (int i = 0; i < JOBS; i++) {
				String job = "job" + i;
				assertThat(this.cell.durableState(job)).as(job)
					.isEqualTo(isGivenUp(job) ? SubmissionState.FAILED : SubmissionState.COMPLETED);
			}
		}

		private boolean isGivenUp(String job) {
			return this.cell.decisions.stream()
				.anyMatch(
						(decision) -> decision instanceof JobDecision.TaskGivenUp givenUp && givenUp.job().equals(job));
		}

	}

}
