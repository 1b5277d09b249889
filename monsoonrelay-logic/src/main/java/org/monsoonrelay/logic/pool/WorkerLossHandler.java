package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.pool.WorkerIncarnation.RunId;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Handles workers that cannot be reached, have restarted or are lost with their runs.
 * Invariant: a run is lost only if a later incarnation of its worker reports without it,
 * if another worker answers at its address, or if the lease of its worker has expired.
 * Not thread-safe: confined to the control thread.
 */
final class WorkerLossHandler {

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final RunTerminationHandler terminations;

	private final CrashTracker crashes;

	private final InheritedStarts inheritedStarts;

	private final PoolClock clock;

	private final DecisionLog log;

	private boolean recovered;

	WorkerLossHandler(WorkerPool pool, JobRegistry jobs, RunTerminationHandler terminations, CrashTracker crashes,
			InheritedStarts inheritedStarts, PoolClock clock, DecisionLog log) {
		this.pool = pool;
		this.jobs = jobs;
		this.terminations = terminations;
		this.crashes = crashes;
		this.inheritedStarts = inheritedStarts;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Handles a poll that was not answered.
	 * @param worker the worker
	 * @param reason the failure
	 */
	void handleUnreachable(PoolWorker worker, String reason) {
		if (worker.isReachable()) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(), reason, worker.runCount()));
			this.crashes.workerUnreachable(worker);
		}
		worker.markUnreachable(this.clock.nanos());
	}

	/**
	 * Handles a worker at whose address another worker answers.
	 * @param worker the worker
	 */
	void handleReplaced(PoolWorker worker) {
		if (worker.isReachable()) {
			this.crashes.workerUnreachable(worker);
		}
		this.crashes.workerReplaced(worker.id());
		// The other worker refuses requests that name this one.
		worker.runs().forEach((run) -> this.jobs.unresolvedStarts().resolve(run.task(), run.attempt()));
		markLost(worker, RunLoss.WORKER_REPLACED);
		handleInheritedLosses(worker, Set.of());
		this.pool.removeReplaced(worker);
	}

	/**
	 * Handles the restart of a worker. Which of its runs are lost is known only when the
	 * new incarnation reports: it may have executed requests that were meant for the
	 * former one.
	 * @param worker the worker
	 * @param startedMillis when the new incarnation was started, empty if not known
	 */
	void handleRestart(PoolWorker worker, OptionalLong startedMillis) {
		if (worker.isReachable()) {
			this.crashes.workerUnreachable(worker);
		}
		this.crashes.workerReplaced(worker.id());
		worker.restart(startedMillis, this.clock.nanos());
		this.pool.markRestarted(worker);
	}

	/**
	 * Handles runs that certainly ended with a former incarnation of their worker, as no
	 * later one can execute their starts. They do not wait for its report, which may take
	 * long if the worker is cut off.
	 * @param worker the worker
	 * @param runs the runs
	 */
	void handleEndedWithFormerIncarnation(PoolWorker worker, List<Run> runs) {
		if (runs.isEmpty()) {
			return;
		}
		logLoss(worker, RunLoss.WORKER_REPLACED, runs.size());
		loseRuns(worker, runs);
		worker.incarnation().markLossLogged();
	}

	/**
	 * Handles the first report of an incarnation of a worker.
	 * @param worker the worker
	 * @param report the report
	 */
	void handleFirstReport(PoolWorker worker, PollOutcome.Report report) {
		this.pool.inherited().leaseEndNanos(worker.id(), report).ifPresent(worker.lease()::limitFormerLeases);
		if (this.pool.inherited().hasRestarted(worker.id(), report)) {
			this.pool.markRestarted(worker);
		}
	}

	/**
	 * Returns whether runs may be active on a worker, or have terminated there, that this
	 * owner knows of only if the worker reports them.
	 * @param worker the worker
	 * @return {@code false} if nothing follows from a run that it does not report
	 */
	boolean mayHaveUnknownRuns(PoolWorker worker) {
		return worker.incarnation().unresolvedPredecessor().isPresent() || this.pool.inherited().contains(worker.id());
	}

	/**
	 * Handles the complete report that verifies an incarnation of a worker: runs that
	 * were started on former incarnations and were reported neither here nor before are
	 * lost.
	 * @param worker the worker
	 * @param report the report
	 */
	void handleVerification(PoolWorker worker, PollOutcome.Report report) {
		Set<RunId> reported = worker.incarnation().reportedRuns();
		if (this.pool.inherited().hasRestarted(worker.id(), report)) {
			handleInheritedLosses(worker, reportedTasks(reported));
		}
		else if (!this.pool.inherited().isSameIncarnation(worker.id(), report)) {
			holdBackInheritedTasks(worker, reportedTasks(reported));
		}
		if (worker.incarnation().unresolvedPredecessor().isPresent()) {
			loseUnreportedRuns(worker, reported);
		}
		worker.incarnation().markVerified();
	}

	private static Set<TaskKey> reportedTasks(Set<RunId> reported) {
		return reported.stream().map(RunId::task).collect(Collectors.toSet());
	}

	// A successor may have read ends that the worker has forgotten in a restart since.
	private void holdBackInheritedTasks(PoolWorker worker, Set<TaskKey> reported) {
		if (this.pool.inherited().isUnreconciled(worker.id())) {
			this.jobs.unconfirmedLosses().recordAnyInherited();
		}
		unreportedTasks(worker, reported).forEach(this.terminations::holdBack);
	}

	private List<TaskKey> unreportedTasks(PoolWorker worker, Set<TaskKey> reported) {
		return this.pool.inherited()
			.unconfirmedTasks(worker.id())
			.stream()
			.filter((task) -> !reported.contains(task))
			.toList();
	}

	private void loseUnreportedRuns(PoolWorker worker, Set<RunId> reported) {
		Set<TaskKey> unprocessed = worker.terminations().unprocessedTasks();
		List<Run> lost = worker.runs()
			.stream()
			.filter((run) -> !reported.contains(new RunId(run.task(), run.attempt())))
			.filter((run) -> !unprocessed.contains(run.task()))
			.toList();
		boolean isLogged = worker.isLost() || worker.incarnation().isLossLogged();
		if (!isLogged || !lost.isEmpty()) {
			logLoss(worker, RunLoss.WORKER_REPLACED, lost.size());
		}
		loseRuns(worker, lost);
	}

	private void loseRuns(PoolWorker worker, List<Run> runs) {
		for (Run run : runs) {
			this.terminations.handleLostRun(worker, run, RunLoss.WORKER_REPLACED, runs.size() - 1);
		}
	}

	// Runs of earlier owners on a worker that has restarted, or was replaced, since.
	private void handleInheritedLosses(PoolWorker worker, Set<TaskKey> reported) {
		List<TaskKey> lost = unreportedTasks(worker, reported);
		boolean isUnreconciled = this.pool.inherited().isUnreconciled(worker.id());
		this.pool.inherited().markReconciled(worker.id());
		if (isUnreconciled) {
			this.jobs.unconfirmedLosses().recordAnyInherited();
		}
		if (worker.isLeaving()) {
			lost.forEach(this.terminations::holdBack);
			return;
		}
		if (isUnreconciled) {
			this.inheritedStarts.recordUnknownLoss();
		}
		lost.forEach(this.terminations::handleInheritedLoss);
	}

	/**
	 * Makes tasks wait whose starts an earlier owner may have sent without an answer.
	 * @param takeOver how this process became the owner
	 */
	void restoreUnresolvedStarts(TakeOver takeOver) {
		long now = this.clock.nanos();
		UnresolvedStarts starts = this.jobs.unresolvedStarts();
		starts.restore(takeOver.previous(), takeOver.previousKnownNanos(), now)
			.forEach((task,
					attempt) -> this.log.write(new JobDecision.StartUnresolved(task.job(), task.toString(), attempt, "",
							starts.ageMillis(task, attempt, now).orElse(0),
							UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS)));
	}

	/**
	 * Gives up the runs on workers that have not reported since the take-over and whose
	 * leases have ended. Of those that answer, the ends that are not listed yet are
	 * awaited.
	 */
	void expireInheritedWorkers() {
		long now = this.clock.nanos();
		for (InheritedWorkers.Expired worker : this.pool.inherited().expire(now, (id) -> mayReport(id, now))) {
			if (worker.unreconciled()) {
				this.jobs.unconfirmedLosses().recordAnyInherited();
				this.inheritedStarts.recordUnknownLoss();
			}
			this.log.write(
					new PoolDecision.InheritedWorkerLost(worker.id(), worker.unreconciled(), worker.describeTasks()));
			worker.tasks().forEach(this.terminations::handleInheritedLoss);
		}
		this.pool.inherited().markOverdue(now).forEach(this::logOverdue);
	}

	private boolean mayReport(String id, long nowNanos) {
		return this.pool.worker(id)
			.filter((worker) -> worker.incarnation().hasReported() && !worker.isLost())
			.filter((worker) -> worker.isReachable() || !worker.lease().isExpired(nowNanos))
			.isPresent();
	}

	private void logOverdue(String id) {
		boolean isAnyTask = this.pool.inherited().isUnreconciled(id);
		int tasks = this.pool.inherited().unconfirmedTasks(id).size();
		this.log.write(new PoolDecision.InheritedRunsUnread(id, isAnyTask, tasks));
	}

	/**
	 * Handles the end of the recovery: the runs of all earlier owners are known, except
	 * those that were lost with a worker.
	 */
	void onRecovered() {
		this.recovered = true;
		this.jobs.inheritedJobs().forEach(this.terminations::handleUnknownLosses);
	}

	/**
	 * Handles a job that is loaded, possibly after the recovery.
	 * @param job the job's id
	 */
	void onJobLoaded(String job) {
		if (this.recovered) {
			this.jobs.job(job).ifPresent(this.terminations::handleUnknownLosses);
		}
	}

	/**
	 * Expires holds and leases, removes expired workers that are no longer listed, and
	 * stops gangs of which only a part is left.
	 * @return {@code true} if runs were lost
	 */
	boolean expireLeases() {
		boolean isAnyLost = false;
		long now = this.clock.nanos();
		for (PoolWorker worker : List.copyOf(this.pool.workers())) {
			worker.expireHolds(now);
			if (worker.isReachable() || !worker.lease().isExpired(now)) {
				continue;
			}
			boolean isNewlyLost = !worker.isLost() && (worker.lease().isClockKnown() || worker.runCount() > 0);
			if (isNewlyLost) {
				markLost(worker, RunLoss.LEASE_EXPIRED);
				isAnyLost = true;
			}
			if (!worker.isListed()) {
				this.pool.remove(worker);
			}
		}
		stopIncompleteGangs();
		return isAnyLost;
	}

	// During the recovery the other members may still be reported.
	private void stopIncompleteGangs() {
		if (this.recovered) {
			this.terminations
				.stopIncompleteGangs((task) -> this.pool.inherited().mayRunUnconfirmed(task, this.jobs::isInherited));
		}
	}

	private void markLost(PoolWorker worker, RunLoss loss) {
		if (worker.isLost()) {
			return;
		}
		Collection<Run> runs = worker.runs();
		logLoss(worker, loss, runs.size());
		for (Run run : runs) {
			this.terminations.handleLostRun(worker, run, loss, runs.size() - 1);
		}
		worker.markLost();
	}

	private void logLoss(PoolWorker worker, RunLoss loss, int lostRuns) {
		this.log.write(new PoolDecision.WorkerLost(worker.id(), worker.info().failureDomain(), loss.description(),
				worker.isLeaving(), this.crashes.isPartOfOutage(worker), worker.silence().millis(this.clock.nanos()),
				lostRuns));
	}

}
