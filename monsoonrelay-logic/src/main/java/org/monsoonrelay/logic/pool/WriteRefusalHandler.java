package org.monsoonrelay.logic.pool;

import java.util.function.Consumer;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.rows.RejectedRows;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Logs the writes that the table does not accept, and ends the jobs that cannot be
 * continued for that. Not thread-safe: confined to the control thread.
 */
final class WriteRefusalHandler implements WriteRefusalListener {

	private final long epoch;

	private final JobRegistry jobs;

	private final Consumer<SubmittedJob> onJobEnded;

	private final DecisionLog log;

	/**
	 * Creates a handler.
	 * @param epoch fencing token of the owner
	 * @param jobs the jobs
	 * @param onJobEnded called with each job that is given up
	 * @param log the decision log
	 */
	WriteRefusalHandler(long epoch, JobRegistry jobs, Consumer<SubmittedJob> onJobEnded, DecisionLog log) {
		this.epoch = epoch;
		this.jobs = jobs;
		this.onJobEnded = onJobEnded;
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
	public void jobRejected(RejectedRows.Cause.RowsOfJob rejected, FailedWrite write) {
		this.log.write(new JobDecision.ProgressRejected(rejected.job(), write.reason(), write.largestRow(),
				write.largestBytes(), rejected.rejections(), rejected.verdict().name()));
		if (rejected.verdict() == RejectedRows.Verdict.GIVEN_UP) {
			this.jobs.giveUp(rejected.job()).ifPresent(this.onJobEnded);
		}
	}

}
