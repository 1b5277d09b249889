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

	/** Time in which a job completes, milliseconds. */
	private static final long COMPLETION_MILLIS = 4000;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(2);

	private void write(String table, String partition, String key, String value) {
		this.cell.table.client().commit(PartitionWrite.to(partition).put(table, key, value));
		this.cell.time.runFor(50);
	}

	private void writeProgress(String value) {
		write(JobTables.PROGRESS, JobTables.POOL_PARTITION, "other", value);
	}

	private long unreadableRowCount(String table) {
		return this.cell.decisions.stream()
			.filter((decision) -> decision instanceof ProcessDecision.RowUnreadable row && row.table().equals(table))
			.count();
	}

	/**
	 * Starts a task of the job "other" as a former owner.
	 * @param millis how long the task runs, milliseconds
	 */
	private void startTaskOfTheOtherJob(long millis) {
		this.cell.withRunMillis(millis);
		WorkerInfo worker = this.cell.workers.listedWorkers().get(0);
		long lease = this.cell.time.millis() + OwnerLease.MAX_REQUEST_VALIDITY_MILLIS;
		this.cell.workers.client().start(worker, new RunStartRequest(TASK, 1, "text", lease, 0, "", ""));
		this.cell.time.runFor(10);
		this.cell.withRunMillis(SimulatedCell.RUN_MILLIS);
	}

	@Nested
	class AJobWithUnreadableProgress {

		@ParameterizedTest
		@ValueSource(strings = { "", "null", "{", "7", "{\"state\":\"PAUSED\",\"steps\":{}}", "{\"steps\":{}}",
				"{\"state\":null,\"steps\":{}}", "{\"state\":0,\"steps\":{}}", "{\"state\":\"RUNNING\"}",
				"{\"state\":\"RUNNING\",\"steps\":{\"first\":{\"done\":[],\"failedAttempts\":{},\"checkpoints\":{}}}}",
				"{\"state\":\"RUNNING\",\"steps\":{\"0.7\":{\"done\":[],\"failedAttempts\":{},\"checkpoints\":{}}}}",
				"{\"state\":\"RUNNING\",\"steps\":{\"0.0\":{\"done\":[-1],\"failedAttempts\":{},\"checkpoints\":{}}}}" })
		void isSkippedWhileAllOthersComplete(String progress) {
			writeProgress(progress);
			UnreadableJobsTests.this.cell.submit("other", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(UnreadableJobsTests.this.cell.workers.startCount(TASK)).isZero();
			assertThat(unreadableRowCount(JobTables.PROGRESS)).isEqualTo(1);
		}

		@Test
		void keepsItsRuns() {
			startTaskOfTheOtherJob(60_000);
			writeProgress("{\"state\":\"PAUSED\",\"steps\":{}}");
			UnreadableJobsTests.this.cell.submit("other", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(UnknownJobs.ROW_WAIT_MILLIS + COMPLETION_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(UnreadableJobsTests.this.cell.workers.runningTaskCount()).isEqualTo(1);
			assertThat(UnreadableJobsTests.this.cell.workers.startCount(TASK)).isEqualTo(1);
		}

		@Test
		void completesOnceItsProgressIsReadable() {
			writeProgress("{");
			UnreadableJobsTests.this.cell.submit("other", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			writeProgress("{\"state\":\"QUEUED\",\"steps\":{},\"later\":1}");
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("other");
			assertThat(UnreadableJobsTests.this.cell.workers.startCount(TASK)).isEqualTo(1);
		}

	}

	@Nested
	class AWorkerWhoseEntryBecomesUnreadable {

		@Test
		void keepsItsRunsBeyondALeaseAndGetsNoNewTasks() {
			SimulatedCell cell = new SimulatedCell().withWorkers(1).withRunMillis(15_000);
			cell.addScheduler();
			cell.submit("first", SimulatedCell.step(1, false));
			cell.time.runFor(500);
			cell.workers.drain("w0");
			cell.submit("second", SimulatedCell.step(1, false));
			cell.time.runFor(OwnerLease.MAX_REQUEST_VALIDITY_MILLIS + 6000);
			cell.assertCompleted("first");
			assertThat(cell.workers.startCount(new TaskKey("first", 0, 0, 0))).isEqualTo(1);
			assertThat(cell.workers.startCount(new TaskKey("second", 0, 0, 0))).isZero();
		}

	}

	@Nested
	class AJobWithAnUnreadableRow {

		@ParameterizedTest
		@ValueSource(strings = { "", "null", "{}", "[]", "{\"id\":\"other\",\"steps\":[null]}",
				"{\"id\":\"other\",\"policy\":null,\"spec\":\"\",\"steps\":[],\"timetable\":null}" })
		void isSkippedWhileAllOthersComplete(String row) {
			write(JobTables.JOBS, JobTables.partition("other"), "other", row);
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(2, false));
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(unreadableRowCount(JobTables.JOBS)).isEqualTo(1);
		}

		@Test
		void isSkippedIfItsRowNamesAnotherJob() {
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.time.runFor(50);
			String row = UnreadableJobsTests.this.cell.table.value(JobTables.JOBS, JobTables.partition("known"),
					"known");
			write(JobTables.JOBS, JobTables.partition("other"), "other", row);
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			UnreadableJobsTests.this.cell.assertCompleted("known");
			assertThat(unreadableRowCount(JobTables.JOBS)).isEqualTo(1);
		}

		@Test
		void keepsItsRuns() {
			startTaskOfTheOtherJob(60_000);
			write(JobTables.JOBS, JobTables.partition("other"), "other", "{");
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(UnknownJobs.ROW_WAIT_MILLIS + COMPLETION_MILLIS);
			assertThat(UnreadableJobsTests.this.cell.workers.runningTaskCount()).isEqualTo(1);
		}

	}

	@Nested
	class AnUnreadableOwnersRow {

		@ParameterizedTest
		@ValueSource(strings = { "", "null", "{", "{}", "{\"holder\":null,\"host\":\"s0\",\"workers\":[]}" })
		void isNeverOverwritten(String row) {
			write(JobTables.OWNER, JobTables.POOL_PARTITION, JobTables.OWNER_KEY, row);
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			assertThat(UnreadableJobsTests.this.cell.hasOwner()).isFalse();
			assertThat(UnreadableJobsTests.this.cell.table.value(JobTables.OWNER, JobTables.POOL_PARTITION,
					JobTables.OWNER_KEY))
				.isEqualTo(row);
			assertThat(unreadableRowCount(JobTables.OWNER)).isEqualTo(1);
		}

		@Test
		void endsTheTermOfTheCurrentOwner() {
			UnreadableJobsTests.this.cell.addScheduler();
			UnreadableJobsTests.this.cell.time.runFor(1000);
			write(JobTables.OWNER, JobTables.POOL_PARTITION, JobTables.OWNER_KEY, "{");
			UnreadableJobsTests.this.cell.submit("known", SimulatedCell.step(1, false));
			UnreadableJobsTests.this.cell.time.runFor(COMPLETION_MILLIS);
			assertThat(UnreadableJobsTests.this.cell.hasOwner()).isFalse();
		}

		@Test
		void ignoresAnInvalidTaskId() {
			WorkerPool pool = new WorkerPool();
			OwnerRecord record = new OwnerRecord("h", "s0", 1, 1, false, java.util.List.of("w0"),
					java.util.Map.of("w1", java.util.List.of("not a task")), HostSize.UNKNOWN, java.util.List.of(),
					true, true, java.util.Map.of(), java.util.Map.of(), java.util.Map.of(), java.util.Map.of(), 0L, "");
			pool.recoverFrom(new TakeOver(record, 1, 0, 0, record, 0, 0, 0, 0));
			pool.inherited().markReconciled("w0");
			assertThat(pool.inherited().areReconciled()).isFalse();
			pool.inherited().markReconciled("w1");
			assertThat(pool.inherited().areReconciled()).isTrue();
		}

	}

}
