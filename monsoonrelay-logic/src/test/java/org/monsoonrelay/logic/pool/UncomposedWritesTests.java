package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.rows.ProgressRow;
import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.logic.writes.FailedWrite;
import org.monsoonrelay.logic.writes.PendingWrite;
import org.monsoonrelay.logic.writes.WriteOutcome;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledging ends of a job whose progress could not be composed.
 */
class UncomposedWritesTests {

	private final VirtualTime time = new VirtualTime();

	private final InMemoryTable table = new InMemoryTable(this.time);

	private final JobRegistry jobs = new JobRegistry(1);

	private final WorkerPool pool = new WorkerPool();

	private final Set<String> failing = new HashSet<>();

	private final List<String> reported = new ArrayList<>();

	private final Listener listener = new Listener();

	private final PoolStateWriter writer = new PoolStateWriter(this.table.client(), this.time,
			new OwnerLease(1, this.time.clock()), this.jobs, this.pool, this.time.clock(), () -> !isFailing("count"),
			this.listener, new UnexpectedRefusals(),
			new JobRowComposer(this.jobs, this.listener, this::toProgress, ProgressRow.DEFAULT_MAX_BYTES),
			ProgressRow.DEFAULT_MAX_BYTES);

	private PoolWorker worker;

	@BeforeEach
	void takeOver() {
		OwnerRecord record = OwnerRecord.NEVER_OWNED
			.takenOverBy(new HostRecord("s0", "domain", "s0:1", "first", 1, false), 0, 0);
		this.writer.start(new TakeOver(record, 0, 0, 0, OwnerRecord.NEVER_OWNED, 0, 0, 0, 0));
		this.writer.startCounting();
		this.pool.update(List.of(new WorkerInfo("w", "salon", "10.0.0.1:1", "porto", SimulatedCell.CAPACITY,
				List.of("a", "r1"), "r1", false, 0, OptionalLong.empty())));
		this.worker = this.pool.worker("w").orElseThrow();
		for (String id : List.of("a", "b")) {
			this.jobs.add(new Submission(id, new QueuePolicy("confirm", "salon", 0, 3, 2.0, 1000, null), "text",
					List.of(SimulatedCell.step(2, false)), Timetable.AT_ONCE, 0), Optional.empty(), false);
		}
	}

	private boolean isFailing(String what) {
		if (this.failing.contains(what)) {
			throw new IllegalStateException(what);
		}
		return false;
	}

	private JobProgress toProgress(SubmittedJob job) {
		isFailing(job.id());
		return job.toProgress();
	}

	private void end(String id, long sequence) {
		SubmittedJob job = this.jobs.job(id).orElseThrow();
		job.progress(new StepKey(id, 0, 0)).markDone(0);
		this.jobs.markDirty(job);
		this.worker.terminations()
			.markProcessed(new TerminatedTask(sequence, new TaskKey(id, 0, 0, 0), 1, TerminationReason.DONE, ""), 0);
		this.worker.terminations().defer(List.of());
	}

	private void runFor(int millis) {
		for (int i = 0; i < millis; i += 20) {
			this.writer.flush();
			this.time.runFor(20);
		}
	}

	private String written(String id) {
		return this.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, id);
	}

	@Nested
	class AJobThatFails {

		@Test
		void keepsEndsFromBeingAcknowledgedUntilItIsWritten() {
			UncomposedWritesTests.this.failing.add("a");
			end("a", 1);
			end("b", 2);
			runFor(2000);
			assertThat(written("b")).isNotEmpty();
			assertThat(written("a")).isEmpty();
			assertThat(UncomposedWritesTests.this.worker.terminations().durable()).isZero();
			assertThat(UncomposedWritesTests.this.reported).containsExactly("a");
			assertThat(UncomposedWritesTests.this.table.version()).isLessThan(20);
			UncomposedWritesTests.this.failing.clear();
			runFor(2000);
			assertThat(written("a")).isNotEmpty();
			assertThat(UncomposedWritesTests.this.worker.terminations().durable()).isEqualTo(2);
		}

	}

	@Nested
	class AWriteThatFails {

		@Test
		void isComposedAgainWithAllThatItTook() {
			UncomposedWritesTests.this.failing.add("count");
			end("a", 1);
			runFor(100);
			assertThat(UncomposedWritesTests.this.reported).containsExactly("");
			UncomposedWritesTests.this.failing.clear();
			end("b", 2);
			runFor(2000);
			assertThat(written("a")).isNotEmpty();
			assertThat(UncomposedWritesTests.this.worker.terminations().durable()).isEqualTo(2);
		}

	}

	private final class Listener implements StateWriteListener {

		@Override
		public void writeDurable(Map<String, SubmissionState> states, Optional<QueueCount> pending) {
		}

		@Override
		public void writesRejected() {
		}

		@Override
		public void writeNotComposed(String job, RuntimeException failure) {
			UncomposedWritesTests.this.reported.add(job);
		}

		@Override
		public void releaseStarting() {
		}

		@Override
		public void released(OwnerRecord record, long version) {
		}

		@Override
		public void ownershipLost(String reason) {
			throw new AssertionError(reason);
		}

	}

	private static final class UnexpectedRefusals implements WriteRefusalListener {

		@Override
		public void writeRefused(FailedWrite write) {
			throw new AssertionError(write);
		}

		@Override
		public void writeRejected(FailedWrite write) {
			throw new AssertionError(write);
		}

		@Override
		public void writeSettled(PendingWrite<StateWrite> write, WriteOutcome outcome, long version) {
			throw new AssertionError(outcome);
		}

		@Override
		public void jobRejected(RejectedRows.Cause.RowsOfJob rejected, FailedWrite write) {
			throw new AssertionError(write);
		}

	}

}
