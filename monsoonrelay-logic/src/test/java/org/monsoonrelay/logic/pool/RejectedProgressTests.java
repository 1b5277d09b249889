package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against one job whose progress the table does not accept stopping all others.
 */
class RejectedProgressTests {

	private final SimulatedCell cell = new SimulatedCell().withWorkers(4);

	private void submit(String... ids) {
		for (String id : ids) {
			this.cell.submit(id, SimulatedCell.step(2, false), SimulatedCell.step(2, false, 0),
					SimulatedCell.step(2, false, 1));
		}
	}

	private static boolean writesJob(PartitionWrite write, Predicate<PartitionWrite.Put> rows) {
		return write.puts().stream().anyMatch((put) -> put.key().equals("rejected") && rows.test(put));
	}

	private <T extends Decision> List<T> decisions(Class<T> type) {
		return this.cell.decisions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	@Nested
	class AJobWhoseProgressIsRejected {

		private final SimulatedCell cell = RejectedProgressTests.this.cell;

		private void rejectWhileUnfinished() {
			this.cell.table.rejectWrites((write) -> writesJob(write, (put) -> put.table().equals(JobTables.PROGRESS)
					&& put.value().contains(SubmissionState.RUNNING.name())));
		}

		@Test
		void endsAsFailedWhileAllOthersComplete() {
			this.cell.startOwnerAndStandby();
			rejectWhileUnfinished();
			submit("a", "rejected", "b");
			this.cell.time.runFor(6000);
			submit("c");
			this.cell.time.runFor(4000);
			this.cell.assertCompleted("a", "b", "c");
			assertThat(this.cell.durableState("rejected")).isEqualTo(SubmissionState.FAILED);
			assertThat(this.cell.gateway.state("rejected")).contains(SubmissionState.FAILED);
			assertThat(decisions(PoolDecision.OwnershipTaken.class)).hasSize(1);
			assertThat(this.cell.pendingCount()).isZero();
		}

		@Test
		void isNamedOnceForEachAttemptToWriteIt() {
			this.cell.startOwnerAndStandby();
			rejectWhileUnfinished();
			submit("a", "rejected", "b");
			this.cell.time.runFor(10_000);
			assertThat(decisions(JobDecision.ProgressRejected.class)).extracting(JobDecision.ProgressRejected::outcome)
				.containsExactly("HELD_BACK", "HELD_BACK", "GIVEN_UP");
			assertThat(decisions(JobDecision.ProgressRejected.class)).allSatisfy((line) -> {
				assertThat(line.job()).isEqualTo("rejected");
				assertThat(line.row()).isEqualTo("progress/rejected");
				assertThat(line.bytes()).isPositive();
			});
		}

		@Test
		void completesIfItsProgressIsAcceptedInTime() {
			this.cell.startOwnerAndStandby();
			rejectWhileUnfinished();
			submit("a", "rejected");
			this.cell.time.runFor(1500);
			assertThat(decisions(JobDecision.ProgressRejected.class)).isNotEmpty();
			this.cell.table.rejectWrites((write) -> false);
			this.cell.time.runFor(5000);
			this.cell.assertCompleted("a", "rejected");
		}

	}

	@Nested
	class AJobWhoseProgressIsRefusedForNow {

		private final SimulatedCell cell = RejectedProgressTests.this.cell;

		private void refuseWhileUnfinished() {
			this.cell.table.refuseWrites((write) -> writesJob(write, (put) -> put.table().equals(JobTables.PROGRESS)
					&& put.value().contains(SubmissionState.RUNNING.name())));
		}

		// Guards against a row that stops all jobs, as the table answers its writes with
		// a status that passes for others.
		@Test
		void doesNotStopTheOthersNorChangeTheOwner() {
			this.cell.startOwnerAndStandby();
			refuseWhileUnfinished();
			submit("a", "rejected", "b");
			this.cell.time.runFor(4000);
			this.cell.assertCompleted("a", "b");
			submit("c");
			this.cell.time.runFor(4000);
			this.cell.assertCompleted("c");
			assertThat(decisions(PoolDecision.OwnershipTaken.class)).hasSize(1);
			assertThat(this.cell.gateway.state("rejected")).isNotEqualTo(Optional.of(SubmissionState.FAILED));
		}

		@Test
		void completesIfItsProgressIsAcceptedLater() {
			this.cell.startOwnerAndStandby();
			refuseWhileUnfinished();
			submit("a", "rejected");
			this.cell.time.runFor(10_000);
			this.cell.table.refuseWrites((write) -> false);
			this.cell.time.runFor(5000);
			this.cell.assertCompleted("a", "rejected");
		}

		@Test
		void endsAsFailedIfItStaysSoWhileOthersAreAccepted() {
			this.cell.startOwnerAndStandby();
			refuseWhileUnfinished();
			submit("a", "rejected");
			this.cell.time.runFor(30_000);
			assertThat(this.cell.durableState("rejected")).isEqualTo(SubmissionState.FAILED);
			assertThat(decisions(JobDecision.ProgressRejected.class)).extracting(JobDecision.ProgressRejected::outcome)
				.containsExactly("HELD_BACK", "GIVEN_UP");
		}

	}

	@Nested
	class ATableThatRefusesAnyWriteAtTimes {

		// Guards against blaming jobs for a table that is busy.
		@Test
		void failsNoJob() {
			SimulatedCell cell = RejectedProgressTests.this.cell;
			Random random = new Random(7);
			cell.startOwnerAndStandby();
			cell.table
				.refuseWrites((write) -> write.partition().equals(JobTables.POOL_PARTITION) && random.nextBoolean());
			String[] ids = IntStream.range(0, 20).mapToObj((i) -> "job" + i).toArray(String[]::new);
			for (String id : ids) {
				submit(id);
				cell.time.runFor(1000);
			}
			cell.table.refuseWrites((write) -> false);
			cell.time.runFor(10_000);
			cell.assertCompleted(ids);
		}

	}

	@Nested
	class AJobOfWhichNoRowIsAccepted {

		// Its ends are acknowledged by no owner, so that none starts its tasks again.
		@Test
		void isStartedOnceAlsoBySuccessorsWhileAllOthersComplete() {
			SimulatedCell cell = RejectedProgressTests.this.cell;
			SimulatedCell.Scheduler first = cell.startOwnerAndStandby();
			cell.table.rejectWrites((write) -> writesJob(write, (put) -> put.table().equals(JobTables.PROGRESS)));
			submit("a", "rejected", "b");
			cell.time.runFor(6000);
			first.kill();
			submit("c");
			cell.time.runFor(20_000);
			submit("d");
			cell.time.runFor(4000);
			cell.assertCompleted("a", "b", "c", "d");
			assertThat(cell.workers.startCount(new TaskKey("rejected", 0, 0, 0))).isEqualTo(1);
			assertThat(cell.workers.startCount(new TaskKey("rejected", 0, 0, 1))).isEqualTo(1);
		}

	}

	@Nested
	class EndsOfAJobOfWhichNoRowIsAccepted {

		// Guards against workers that list no further ends, as those of such a job are
		// never acknowledged.
		@Test
		void doNotKeepThoseOfOtherJobsFromBeingListed() {
			SimulatedCell cell = new SimulatedCell();
			cell.workers.setMaxListedEnds(20);
			cell.workers.add("w", new Resources(200_000, 100_000, 0));
			cell.startOwnerAndStandby();
			cell.table.rejectWrites((write) -> writesJob(write, (put) -> put.table().equals(JobTables.PROGRESS)));
			cell.submit("rejected", SimulatedCell.step(2, false));
			String[] ids = IntStream.range(0, 40).mapToObj((i) -> "job" + i).toArray(String[]::new);
			for (String id : ids) {
				cell.submit(id, SimulatedCell.step(2, false));
				cell.time.runFor(200);
			}
			cell.time.runFor(10_000);
			cell.assertCompleted(ids);
		}

	}

	@Nested
	class AWriteThatIsRejectedAsAWhole {

		@Test
		void isDividedWithoutHoldingBackAJob() {
			SimulatedCell cell = RejectedProgressTests.this.cell;
			cell.startOwnerAndStandby();
			cell.table.rejectWrites((write) -> write.puts().size() > 5);
			String[] ids = { "a", "b", "c", "d", "e", "f", "g", "h" };
			submit(ids);
			cell.time.runFor(10_000);
			cell.assertCompleted(ids);
			assertThat(decisions(JobDecision.ProgressRejected.class)).isEmpty();
			assertThat(decisions(PoolDecision.WriteRefused.class)).isNotEmpty();
		}

		@Test
		void endsNoJobIfTheTableRejectsEverythingForAWhile() {
			SimulatedCell cell = RejectedProgressTests.this.cell;
			cell.startOwnerAndStandby();
			submit("a", "b");
			cell.time.runFor(300);
			cell.table.rejectWrites((write) -> true);
			cell.time.runFor(5000);
			cell.table.rejectWrites((write) -> false);
			cell.time.runFor(20_000);
			cell.assertCompleted("a", "b");
			assertThat(decisions(JobDecision.ProgressRejected.class)).isEmpty();
		}

	}

}
