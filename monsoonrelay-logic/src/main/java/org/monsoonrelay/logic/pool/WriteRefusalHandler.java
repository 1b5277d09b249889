package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.logic.writes.FailedWrite;
import org.monsoonrelay.logic.writes.PendingWrite;
import org.monsoonrelay.logic.writes.WriteOutcome;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Logs the writes that the table does not accept or answer, and ends the jobs that cannot
 * be continued for that. Not thread-safe: confined to the control thread.
 */
final class WriteRefusalHandler implements WriteRefusalListener {

	private final long epoch;

	private final JobRegistry jobs;

	private final Consumer<SubmittedJob> onJobEnded;

	private final PoolClock clock;

	private final DecisionLog log;

	/**
	 * Creates a handler.
	 * @param epoch fencing token of the owner
	 * @param jobs the jobs
	 * @param onJobEnded called with each job that is given up
	 * @param clock the clock
	 * @param log the decision log
	 */
	WriteRefusalHandler(long epoch, JobRegistry jobs, Consumer<SubmittedJob> onJobEnded, PoolClock clock,
			DecisionLog log) {
		this.epoch = epoch;
		this.jobs = jobs;
		this.onJobEnded = onJobEnded;
		this.clock = clock;
		this.log = log;
	}

	@Override
	public void writeRefused(FailedWrite write) {
		log("REFUSED", write);
	}

	@Override
	public void writeRejected(FailedWrite write) {
		log("REJECTED", write);
	}

	private void log(String outcome, FailedWrite write) {
		this.log.write(new PoolDecision.WriteRefused(this.epoch, outcome, write.reason(), write.jobs(), write.rows(),
				write.bytes(), write.largestRow(), write.largestBytes()));
	}

	@Override
	public void writeSettled(PendingWrite<StateWrite> write, WriteOutcome outcome, long version) {
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - write.composedNanos());
		this.log.write(new PoolDecision.WriteSettled(this.epoch, write.number(), outcome.name(), write.attemptCount(),
				write.attempts(), write.write().jobs().size(), ageMillis, version));
	}

	@Override
	public void jobRejected(RejectedRows.Cause.RowsOfJob rejected, FailedWrite write) {
		this.log.write(new JobDecision.ProgressRejected(rejected.job(), write.reason(), write.largestRow(),
				write.largestBytes(), rejected.rejections(), rejected.verdict().name()));
		if (rejected.verdict() == RejectedRows.Verdict.GIVEN_UP) {
			this.jobs.giveUp(rejected.job()).ifPresent(this.onJobEnded);
		}
	}

}
