package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * What this owner knows of one incarnation of a worker: the lease on its clock and the
 * terminations that it reported. A worker that restarts gets a new object, so that
 * nothing learned of an incarnation is applied to the next one. Invariant: an incarnation
 * is verified only by a complete report, and one on which runs may be active that this
 * owner does not know only by a second one without a missing number, requested when the
 * worker has listed the ends of all runs that the first one lacked; a report of one that
 * follows another incarnation counts only if it was requested after the restart was
 * noticed. Not thread-safe: confined to the control thread.
 */
final class WorkerIncarnation {

	private final WorkerLease lease;

	private final TerminationSequence terminations;

	private final FailureStreak failures = new FailureStreak();

	private final Optional<Predecessor> predecessor;

	private OptionalLong startedMillis;

	private int tokenGeneration;

	// Runs in the reports so far, until this incarnation is verified.
	private final Set<RunId> reportedRuns = new HashSet<>();

	private boolean reported;

	// Monotonic time at which the first complete report was processed.
	private OptionalLong completelyReportedNanos = OptionalLong.empty();

	private boolean reportDue;

	// Monotonic time at which the report that is due is to be requested.
	private OptionalLong nextReportNanos = OptionalLong.empty();

	private boolean verified;

	private boolean lossLogged;

	private WorkerIncarnation(WorkerLease lease, TerminationSequence terminations, OptionalLong startedMillis,
			int tokenGeneration, Optional<Predecessor> predecessor) {
		this.lease = lease;
		this.terminations = terminations;
		this.startedMillis = startedMillis;
		this.tokenGeneration = tokenGeneration;
		this.predecessor = predecessor;
	}

	/**
	 * Creates the incarnation of a worker that this owner has not polled yet.
	 * @param tokenGeneration how often the fencing token of the worker may have been
	 * raised before
	 * @return the incarnation
	 */
	static WorkerIncarnation unknown(int tokenGeneration) {
		return new WorkerIncarnation(new WorkerLease(), new TerminationSequence(), OptionalLong.empty(),
				tokenGeneration, Optional.empty());
	}

	/**
	 * Creates the incarnation that follows this one. Its requests carry a higher fencing
	 * token.
	 * @param nextStartedMillis when it was started, empty if that is not known yet
	 * @param isLeaving whether this incarnation was about to leave
	 * @param nowNanos the current monotonic time
	 * @return the incarnation
	 */
	WorkerIncarnation restarted(OptionalLong nextStartedMillis, boolean isLeaving, long nowNanos) {
		return new WorkerIncarnation(WorkerLease.ofRestartedWorker(nowNanos), this.terminations.ofNextIncarnation(),
				nextStartedMillis, this.tokenGeneration + 1, Optional.of(new Predecessor(isLeaving)));
	}

	WorkerLease lease() {
		return this.lease;
	}

	TerminationSequence terminations() {
		return this.terminations;
	}

	/**
	 * Uses a higher fencing token from now on, so that no earlier request is executed
	 * once the worker has received a later one.
	 */
	void raiseFencingToken() {
		this.tokenGeneration++;
	}

	/**
	 * Returns how often the fencing token of requests to the worker was raised.
	 * @return the number, see {@link OwnerLease#fencingToken}
	 */
	int tokenGeneration() {
		return this.tokenGeneration;
	}

	/**
	 * Returns when the incarnation was started.
	 * @return epoch milliseconds on the worker's clock, empty while it is not known
	 */
	OptionalLong startedMillis() {
		return this.startedMillis;
	}

	/**
	 * Returns whether the incarnation has reported all its runs to this owner.
	 * @return {@code false} if runs of a former incarnation may still be listed here
	 */
	boolean isVerified() {
		return this.verified;
	}

	/**
	 * Returns the incarnation whose runs are lost unless this one reports them.
	 * @return the former incarnation, empty once this one is verified
	 */
	Optional<Predecessor> unresolvedPredecessor() {
		return this.verified ? Optional.empty() : this.predecessor;
	}

	/**
	 * Returns whether a report comes from another incarnation: its start differs or, if
	 * the worker does not send one, its clock was reset.
	 * @param report the report
	 * @param clockWhenSent the last known reading of the worker's clock when the poll was
	 * sent, milliseconds
	 * @return {@code true} if the worker has restarted
	 */
	boolean isContradictedBy(PollOutcome.Report report, long clockWhenSent) {
		if (this.startedMillis.isPresent() && report.startedMillis().isPresent()) {
			return !this.startedMillis.equals(report.startedMillis());
		}
		return report.clockMillis() < clockWhenSent;
	}

	/**
	 * Returns whether an entry of the worker list describes a later incarnation.
	 * @param listed the entry
	 * @return {@code false} also if either start is not known
	 */
	boolean isFollowedBy(WorkerInfo listed) {
		return this.startedMillis.isPresent() && listed.startedMillis().isPresent()
				&& listed.startedMillis().getAsLong() > this.startedMillis.getAsLong();
	}

	/**
	 * Returns whether an entry of the worker list describes a former incarnation, which
	 * may have had another capacity.
	 * @param listed the entry
	 * @return {@code false} also if either start is not known
	 */
	boolean follows(WorkerInfo listed) {
		return this.startedMillis.isPresent() && listed.startedMillis().isPresent()
				&& listed.startedMillis().getAsLong() < this.startedMillis.getAsLong();
	}

	/**
	 * Records a report of this incarnation.
	 * @param report the report
	 * @param nowNanos monotonic time at which it arrived
	 */
	void recordReport(PollOutcome.Report report, long nowNanos) {
		this.reported = true;
		this.reportDue = !report.complete();
		this.nextReportNanos = OptionalLong.empty();
		if (!this.verified) {
			report.runningTasks().forEach((run) -> this.reportedRuns.add(new RunId(run.task(), run.attempt())));
			report.terminatedTasks().forEach((run) -> this.reportedRuns.add(new RunId(run.task(), run.attempt())));
		}
		if (report.startedMillis().isPresent()) {
			this.startedMillis = report.startedMillis();
		}
		this.lease.updateClock(report.clockMillis(), nowNanos);
	}

	/**
	 * Returns the runs that this incarnation has reported so far, as active or as
	 * terminated.
	 * @return the runs, none once it is verified
	 */
	Set<RunId> reportedRuns() {
		return this.reportedRuns;
	}

	/**
	 * Returns whether the incarnation has reported to this owner.
	 * @return {@code true} also if the report was not complete
	 */
	boolean hasReported() {
		return this.reported;
	}

	/**
	 * Returns whether the incarnation may have reported a part of its runs only.
	 * @return {@code true} until it is verified
	 */
	boolean isPartlyReported() {
		return !this.verified && this.reportDue;
	}

	/**
	 * Records that a complete report is processed, with its terminations.
	 * @param pollSentNanos monotonic time at which it was requested
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if all runs are known, {@code false} if another report is
	 * needed, which is due then
	 */
	boolean markCompletelyReported(long pollSentNanos, long nowNanos) {
		if (this.completelyReportedNanos.isEmpty()) {
			this.completelyReportedNanos = OptionalLong.of(nowNanos);
		}
		long fromNanos = this.completelyReportedNanos.getAsLong() + TerminationSequence.MAX_LISTING_DELAY_NANOS;
		if (pollSentNanos - fromNanos >= 0 && !this.terminations.hasGap()) {
			return true;
		}
		expectReport(fromNanos);
		return false;
	}

	/**
	 * Records that another report is needed although the last one was complete.
	 * @param fromNanos monotonic time from which on it is to be requested
	 */
	void expectReport(long fromNanos) {
		boolean isEarliest = this.nextReportNanos.isEmpty() || fromNanos - this.nextReportNanos.getAsLong() < 0;
		if (isEarliest) {
			this.nextReportNanos = OptionalLong.of(fromNanos);
		}
		this.reportDue = true;
	}

	/**
	 * Returns the time until the report is to be requested that is due.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, rounded up, 0 if the time has come
	 */
	long millisUntilNextReport(long nowNanos) {
		long nanos = this.nextReportNanos.orElse(nowNanos) - nowNanos;
		return (nanos > 0) ? TimeUnit.NANOSECONDS.toMillis(nanos - 1) + 1 : 0;
	}

	/**
	 * Returns whether the worker is known to have more to report, so that a poll need not
	 * wait for a termination.
	 * @return {@code true} if the last report was not complete, or lacked a run
	 */
	boolean isReportDue() {
		return this.reportDue;
	}

	void markVerified() {
		this.verified = true;
		this.reportedRuns.clear();
	}

	/**
	 * Records that the loss of the former incarnation is logged.
	 */
	void markLossLogged() {
		this.lossLogged = true;
	}

	boolean isLossLogged() {
		return this.lossLogged;
	}

	/**
	 * Returns the failures of tasks on this incarnation.
	 * @return the failures in a row
	 */
	FailureStreak failures() {
		return this.failures;
	}

	/**
	 * A run of a task. Immutable.
	 *
	 * @param task the task
	 * @param attempt the attempt number
	 */
	record RunId(TaskKey task, int attempt) {

	}

	/**
	 * The former incarnation of a worker. Immutable.
	 *
	 * @param draining whether it was about to leave
	 */
	record Predecessor(boolean draining) {

	}

}
