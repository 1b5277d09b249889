package org.monsoonrelay.logic.pool;

import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a take-over that starts tasks again because an answer of the change feed
 * held a part of the changes only.
 */
class CutAnswersTests {

	private static final int JOBS = 30;

	private static final int HIDDEN_MILLIS = 300;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(10)
		.withRunMillis((task) -> 100 + Math.floorMod(task.hashCode(), 500));

	private SimulatedCell.Scheduler owner;

	private SimulatedCell.Scheduler standby;

	@BeforeEach
	void startOwnerAndStandby() {
		this.owner = this.cell.startOwnerAndStandby();
		this.standby = this.cell.schedulers.get(1);
		this.cell.time.runFor(SimulatedCell.STANDBY_DELAY_MILLIS + 500);
	}

	private void takeOverUnderLoad(Runnable loss) {
		for (int i = 0; i < JOBS; i++) {
			this.cell.submit("job" + i, SimulatedCell.step(4, false), SimulatedCell.step(2, false, 0));
			this.cell.time.runFor(60);
		}
		loss.run();
		this.cell.time.runFor(12_000);
		assertThat(this.standby.owner()).isPresent();
	}

	private void assertNothingIsRepeated() {
		this.cell.assertCompleted(IntStream.range(0, JOBS).mapToObj((i) -> "job" + i).toArray(String[]::new));
	}

	@Nested
	class OfTheChangeFeed {

		@Test
		void hideNoEndsFromTheSuccessorOfAStoppedOwner() {
			CutAnswersTests.this.standby.tableClient.cutAnswersAfter(5);
			takeOverUnderLoad(CutAnswersTests.this.owner::stop);
			assertNothingIsRepeated();
		}

		@Test
		void hideNoEndsFromTheSuccessorOfAKilledOwner() {
			CutAnswersTests.this.standby.tableClient.cutAnswersAfter(5);
			takeOverUnderLoad(CutAnswersTests.this.owner::kill);
			assertNothingIsRepeated();
		}

		@Test
		void thatEndWithinAWriteHideNoEndsFromASuccessor() {
			CutAnswersTests.this.standby.tableClient.cutAnswersAfter(1);
			takeOverUnderLoad(CutAnswersTests.this.owner::stop);
			assertNothingIsRepeated();
		}

		@Test
		void areReadUpToTheTakeOverBeforeJobsAreReplayed() {
			CutAnswersTests.this.standby.tableClient.cutAnswersAfter(5);
			CutAnswersTests.this.standby.tableClient.setFeedDelay(100);
			takeOverUnderLoad(CutAnswersTests.this.owner::stop);
			PoolDecision.ProgressLoaded loaded = lastProgressLoaded();
			assertThat(loaded.progressVersion()).isGreaterThanOrEqualTo(loaded.takeOverVersion());
			assertThat(loaded.answers()).isGreaterThan(1);
			assertThat(CutAnswersTests.this.cell.decisions)
				.hasAtLeastOneElementOfType(JobDecision.InheritedTaskStarted.class)
				.noneMatch(JobDecision.ProgressDeliveredLate.class::isInstance);
		}

		private PoolDecision.ProgressLoaded lastProgressLoaded() {
			PoolDecision.ProgressLoaded last = null;
			for (Decision decision : CutAnswersTests.this.cell.decisions) {
				last = (decision instanceof PoolDecision.ProgressLoaded loaded) ? loaded : last;
			}
			return last;
		}

	}

	@Nested
	class OfAFeedThatTellsVersionsBeyondItsRows {

		@Test
		void hideNoEndsFromTheSuccessorOfAStoppedOwner() {
			takeOverUnderLoad(() -> hideWritesBefore(CutAnswersTests.this.owner::stop));
			assertNothingIsRepeated();
		}

		@Test
		void hideNoEndsFromTheSuccessorOfAKilledOwner() {
			takeOverUnderLoad(() -> hideWritesBefore(CutAnswersTests.this.owner::kill));
			assertNothingIsRepeated();
		}

		@Test
		void hideNoFailuresFromASuccessor() {
			CutAnswersTests.this.cell.workers.setEndlessTasks((task) -> Math.floorMod(task.hashCode(), 3) == 0);
			CutAnswersTests.this.cell.workers.limitFailures(3);
			takeOverUnderLoad(() -> hideWritesBefore(CutAnswersTests.this.owner::stop));
			assertThat(CutAnswersTests.this.cell.workers.violations()).isEmpty();
		}

		private void hideWritesBefore(Runnable loss) {
			InMemoryTable.Client client = CutAnswersTests.this.standby.tableClient;
			long from = CutAnswersTests.this.cell.table.version();
			client.hideChanges((version) -> version > from);
			CutAnswersTests.this.cell.time.runFor(HIDDEN_MILLIS);
			long to = CutAnswersTests.this.cell.table.version();
			client.hideChanges((version) -> version > from && version <= to);
			loss.run();
		}

	}

}
