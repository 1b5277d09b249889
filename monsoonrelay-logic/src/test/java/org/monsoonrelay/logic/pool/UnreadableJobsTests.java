package org.monsoonrelay.logic.pool;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.ProcessDecision;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class UnreadableJobsTests {

	private static final TaskKey TASK = new TaskKey("other", 0, 0, 0);

	/** Time for a job to be served. */
	private static final long SERVED_MILLIS = 4000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(2);

	private void write(String table, String partition, String key, String value) {
		this.cell.table.client().commit(PartitionWrite.to(partition).put(table, key, value));
		this.cell.time.runFor(50);
	}

	private void writeProgress(String value) {
		write(JobTables.PROGRESS, JobTables.POOL_PARTITION, "other", value);
	}

	private long told(String table) {
		return this.cell.decisions.stream()
			.filter((decision) -> decision instanceof ProcessDecision.RowUnreadable row && row.table().equals(table))
			.count();
	}

	private void aTaskOfTheOtherJobRunsFor(long millis) {
		this.cell.withRunMillis(millis);
		WorkerInfo worker = this.cell.workers.listedWorkers().get(0);
		long lease = this.cell.time.millis() + OwnerLease.MAX_ORDER_VALIDITY_MILLIS;
		this.cell.workers.client().start(worker, new RunStartRequest(TASK, 1, "text", lease, 0, "", ""));
		this.cell.time.runFor(10);
		this.cell.withRunMillis(SimulatedCell.RUN_MILLIS);
	}

	@Nested
	class AJobWhoseProgressCannotBeRead {

		@ParameterizedTest
		@ValueSource(strings = { "", "null", "{", "7", "{\"state\":\"PAUSED\",\"steps\":{}}", "{\"steps\":{}}",
				"{\"state\":null,\"steps\":{}}", "{\"state\":0,\"steps\":{}}", "{\"state\":\"RUNNING\"}",
				"{\"state\":\"RUNNING\",\"steps\":{\"first\":{\"done\":[],\"failedAttempts\":{},\"checkpoints\":{}}}}",
				"{\"state\":\"RUNNING\",\"steps\":{\"0.7\":{\"done\":[],\"failedAttempts\":{},\"checkpoints\":{}}}}",
				"{\"state\":\"RUNNING\",\"steps\":{\"0.0\":{\"done\":[-1],\"failedAttempts\":{},\"checkpoints\":{}}}}" })
		void isLeftAloneAndAllOthersAreServed(String progress) {
			writeProgress(progress);
			UnreadableJobsTests.this.cell.submit("other", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(UnreadableJobsTests.this.cell.workers.startCount(TASK)).isZero();
			assertThat(told(JobTables.PROGRESS)).isEqualTo(1);
		}

		@Test
		void keepsItsRuns() {
			aTaskOfTheOtherJobRunsFor(60_000);
			writeProgress("{\"state\":\"PAUSED\",\"steps\":{}}");
			UnreadableJobsTests.this.cell.submit("other", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(UnknownJobs.ROW_WAIT_MILLIS + SERVED_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(UnreadableJobsTests.this.cell.workers.runningTaskCount()).isEqualTo(1);
			assertThat(UnreadableJobsTests.this.cell.workers.startCount(TASK)).isEqualTo(1);
		}

		@Test
		void isServedOnceItCanBeRead() {
			writeProgress("{");
			UnreadableJobsTests.this.cell.submit("other", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			writeProgress("{\"state\":\"QUEUED\",\"steps\":{},\"later\":1}");
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("other");
			assertThat(UnreadableJobsTests.this.cell.workers.startCount(TASK)).isEqualTo(1);
		}

	}

	@Nested
	class AWorkerWhoseEntryCannotBeReadAnyMore {

		@Test
		void keepsItsRunsForLongerThanALeaseAndGetsNothingNew() {
			SimulatedCell cell = new SimulatedCell().withWorkers(1).withRunMillis(15_000);
			cell.addScheduler();
			cell.submit("first", SimulatedCell.step(1, false));
			cell.time.runFor(500);
			cell.workers.drain("w0");
			cell.submit("second", SimulatedCell.step(1, false));
			cell.time.runFor(OwnerLease.MAX_ORDER_VALIDITY_MILLIS + 6000);
			cell.assertCompleted("first");
			assertThat(cell.workers.startCount(new TaskKey("first", 0, 0, 0))).isEqualTo(1);
			assertThat(cell.workers.startCount(new TaskKey("second", 0, 0, 0))).isZero();
		}

	}

	@Nested
	class AJobWhoseRowCannotBeRead {

		@ParameterizedTest
		@ValueSource(strings = { "", "null", "{}", "[]", "{\"id\":\"other\",\"steps\":[null]}",
				"{\"id\":\"other\",\"policy\":null,\"spec\":\"\",\"steps\":[],\"timetable\":null}" })
		void isLeftAloneAndAllOthersAreServed(String row) {
			write(JobTables.JOBS, JobTables.partition("other"), "other", row);
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(told(JobTables.JOBS)).isEqualTo(1);
		}

		@Test
		void isLeftAloneIfTheRowNamesAnother() {
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.time.runFor(50);
			String row = UnreadableJobsTests.this.cell.table.value(JobTables.JOBS, JobTables.partition("known"),
					"known");
			write(JobTables.JOBS, JobTables.partition("other"), "other", row);
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(told(JobTables.JOBS)).isEqualTo(1);
		}

		@Test
		void keepsItsRuns() {
			aTaskOfTheOtherJobRunsFor(60_000);
			write(JobTables.JOBS, JobTables.partition("other"), "other", "{");
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(UnknownJobs.ROW_WAIT_MILLIS + SERVED_MILLIS);
			assertThat(UnreadableJobsTests.this.cell.workers.runningTaskCount()).isEqualTo(1);
		}

	}

	@Nested
	class AnOwnersRowThatCannotBeRead {

		@ParameterizedTest
		@ValueSource(strings = { "", "null", "{", "{}", "{\"holder\":null,\"host\":\"s0\",\"workers\":[]}" })
		void isNeverOverwritten(String row) {
			write(JobTables.OWNER, JobTables.POOL_PARTITION, JobTables.OWNER_KEY, row);
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			assertThat(UnreadableJobsTests.this.cell.hasOwner()).isFalse();
			assertThat(UnreadableJobsTests.this.cell.table.value(JobTables.OWNER, JobTables.POOL_PARTITION,
					JobTables.OWNER_KEY))
				.isEqualTo(row);
			assertThat(told(JobTables.OWNER)).isEqualTo(1);
		}

		@Test
		void endsTheTermOfTheOwnerBeforeIt() {
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(1000);
			write(JobTables.OWNER, JobTables.POOL_PARTITION, JobTables.OWNER_KEY, "{");
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.time.runFor(SERVED_MILLIS);
			assertThat(UnreadableJobsTests.this.cell.hasOwner()).isFalse();
		}

		@Test
		void namesNoTaskForGuesses() {
			WorkerPool pool = new WorkerPool();
			pool.recoverFrom(new OwnerRecord("h", "s0", 1, 1, false, java.util.List.of("w0"),
					java.util.Map.of("w1", java.util.List.of("not a task")), HostSize.UNKNOWN, java.util.List.of(),
					true));
			pool.markReconciled("w0");
			assertThat(pool.isRecoveryComplete()).isFalse();
			pool.markReconciled("w1");
			assertThat(pool.isRecoveryComplete()).isTrue();
		}

	}

}
