package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.Metric;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.ExecutorCallback;

/**
 * Polls workers and processes their reports. Invariants: each incarnation of a worker has
 * polls of its own, one at a time; terminations are acknowledged only to the incarnation
 * that reported them; a report of an incarnation that was not known yet is not processed
 * but requested again with a higher fencing token, so that the worker has executed all
 * earlier requests that it will ever execute. Not thread-safe: confined to the control
 * thread.
 */
final class WorkerPoller {

	/**
	 * Maximum delay of a poll response while no run terminates, milliseconds. Renews a
	 * lease seven times before it expires and detects a dead connection within two
	 * seconds.
	 */
	private static final long POLL_WAIT_MILLIS = 1000;

	/**
	 * Maximum age of the known reading of a worker's clock when a lease is granted,
	 * milliseconds: a poll that waits, its timeout, and the delay before the next one.
	 */
	static final long MAX_CLOCK_READING_AGE_MILLIS = 2000;

	/** Delay before an unreachable worker is polled again, milliseconds. */
	private static final long UNREACHABLE_RETRY_MILLIS = 200;

	/**
	 * Maximum delay of polls until terminations are durable, or until a record that no
	 * longer names the worker as silent is, milliseconds.
	 */
	private static final long MAX_DURABILITY_WAIT_MILLIS = 250;

	/**
	 * Poll delay while terminations that cannot be acknowledged end polls at once,
	 * milliseconds.
	 */
	private static final long UNACKNOWLEDGED_POLL_DELAY_MILLIS = 100;

	/** Poll delay while a number is missing in the list of terminations, milliseconds. */
	private static final long GAP_POLL_DELAY_MILLIS = 25;

	private final WorkerClient workerClient;

	private final OwnerLease ownerLease;

	private final WorkerPool pool;

	private final CrashTracker crashes;

	private final RunTerminationHandler terminations;

	private final WorkerLossHandler losses;

	private final RunAdoption adoption;

	private final RunObservers observers;

	private final EligibilityTracker eligibility;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final RunListener listener;

	private final Map<WorkerIncarnation, PoolWorker> awaitingDurability = new HashMap<>();

	private final Map<WorkerIncarnation, Long> terminationsProcessedNanos = new HashMap<>();

	private boolean closed;

	WorkerPoller(WorkerClient workerClient, OwnerLease ownerLease, WorkerPool pool, CrashTracker crashes,
			RunTerminationHandler terminations, WorkerLossHandler losses, RunAdoption adoption, RunObservers observers,
			EligibilityTracker eligibility, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			RunListener listener) {
		this.workerClient = workerClient;
		this.ownerLease = ownerLease;
		this.pool = pool;
		this.crashes = crashes;
		this.terminations = terminations;
		this.losses = losses;
		this.adoption = adoption;
		this.observers = observers;
		this.eligibility = eligibility;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.listener = listener;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Polls the current incarnation of a worker until it restarts or is removed from the
	 * pool.
	 * @param worker the worker
	 */
	void poll(PoolWorker worker) {
		WorkerIncarnation incarnation = worker.incarnation();
		if (this.closed || !isInPool(worker)) {
			this.terminationsProcessedNanos.remove(incarnation);
			return;
		}
		long sentNanos = this.clock.nanos();
		long acknowledged = worker.acknowledgeableSequence(sentNanos);
		if (acknowledged >= worker.terminations().processed()) {
			Optional.ofNullable(this.terminationsProcessedNanos.remove(incarnation))
				.ifPresent((processedNanos) -> this.log.recordMetric(Metric.ACKNOWLEDGEMENT_LATENCY,
						TimeUnit.NANOSECONDS.toMillis(sentNanos - processedNanos)));
		}
		logAcknowledgement(worker, acknowledged);
		boolean extendLease = worker.isReachable() && this.ownerLease.canGrantLeases()
				&& this.pool.mayGrantLease(worker);
		SentPoll poll = new SentPoll(worker, incarnation, worker.info(), acknowledged, sentNanos,
				worker.lease().clockMillis());
		OptionalLong leaseEndMillis = extendLease
				? OptionalLong.of(worker.lease().extend(sentNanos, this.ownerLease.workerLeaseMillis()))
				: OptionalLong.empty();
		PollRequest request = new PollRequest(this.ownerLease.fencingToken(worker.incarnation().tokenGeneration()),
				acknowledged, leaseEndMillis, maxWait(worker, sentNanos));
		this.workerClient.poll(worker.info(), request)
			.whenComplete(ExecutorCallback.on(this.control, (outcome, failure) -> handleOutcome(poll, outcome)));
	}

	private void logAcknowledgement(PoolWorker worker, long upTo) {
		TerminationSequence sequence = worker.terminations();
		long former = sequence.acknowledge(upTo);
		if (upTo > former) {
			this.log.write(new PoolDecision.EndsAcknowledged(worker.id(),
					worker.incarnation().startedMillis().orElse(-1), upTo, former, sequence.durableVersion()));
		}
	}

	// Tasks may wait for the end of a probation, which takes an answer, and the worker
	// for a lease.
	private Duration maxWait(PoolWorker worker, long nowNanos) {
		long longest = Math.min(POLL_WAIT_MILLIS, this.observers.reportWithinMillis(worker));
		boolean mayWait = worker.isReachable() && this.pool.mayGrantLease(worker)
				&& !worker.incarnation().isReportDue();
		return mayWait ? Duration.ofMillis(worker.suspectedRuns().millisUntilProbationEnds(nowNanos, longest))
				: Duration.ZERO;
	}

	// A worker that was removed may have been added again as another object.
	private boolean isInPool(PoolWorker worker) {
		return this.pool.worker(worker.id()).filter((known) -> known == worker).isPresent();
	}

	private void pollAfter(PoolWorker worker, WorkerIncarnation incarnation, long delayMillis) {
		this.control.schedule(() -> {
			if (worker.incarnation() == incarnation) {
				poll(worker);
			}
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void handleOutcome(SentPoll poll, PollOutcome outcome) {
		PoolWorker worker = poll.worker();
		if (this.closed || worker.incarnation() != poll.incarnation() || !isInPool(worker)) {
			return;
		}
		if (outcome instanceof PollOutcome.Report report) {
			handleReport(poll, report);
		}
		else if (outcome instanceof PollOutcome.Gone && worker.isAt(poll.addressee())) {
			handleReplaced(worker);
		}
		else if (outcome instanceof PollOutcome.Fenced) {
			this.listener.workerFenced(worker.id());
		}
		else {
			handleNoAnswer(poll, (outcome instanceof PollOutcome.NoAnswer none) ? none.reason() : "no outcome");
		}
	}

	private void handleNoAnswer(SentPoll poll, String reason) {
		PoolWorker worker = poll.worker();
		this.losses.handleUnreachable(worker, reason);
		if (poll.acknowledged() > 0) {
			// A later incarnation must not execute this poll after it has executed
			// starts.
			raiseFencingToken(worker);
		}
		pollAfter(worker, poll.incarnation(), UNREACHABLE_RETRY_MILLIS);
	}

	private void raiseFencingToken(PoolWorker worker) {
		worker.incarnation().raiseFencingToken();
		releaseIfTokensAreUsedUp(worker);
	}

	private void releaseIfTokensAreUsedUp(PoolWorker worker) {
		if (this.ownerLease.isLastFencingToken(worker.incarnation().tokenGeneration())) {
			this.listener.fencingTokensUsedUp();
		}
	}

	/**
	 * Handles a worker at whose address another worker answers.
	 * @param worker the worker
	 */
	void handleReplaced(PoolWorker worker) {
		if (!isInPool(worker)) {
			return;
		}
		this.losses.handleReplaced(worker);
		this.observers.workerReset(worker);
		this.listener.stateChanged();
	}

	/**
	 * Handles a worker that is listed as restarted.
	 * @param worker the worker
	 */
	void handleListedRestart(PoolWorker worker) {
		List<Run> endedRuns = worker.runs().stream().filter(Run::isStartResolved).toList();
		handleRestart(worker, worker.info().startedMillis(), -1);
		this.losses.handleEndedWithFormerIncarnation(worker, endedRuns);
	}

	/**
	 * Handles the restart of a worker under its id.
	 * @param worker the worker
	 * @param startedMillis when the new incarnation was started, empty if not known
	 * @param clockMillis the reading of its clock, -1 if not known
	 */
	void handleRestart(PoolWorker worker, OptionalLong startedMillis, long clockMillis) {
		WorkerIncarnation former = worker.incarnation();
		this.log.write(new PoolDecision.WorkerRestarted(worker.id(), former.startedMillis().orElse(-1),
				startedMillis.orElse(-1), former.lease().clockMillis(), clockMillis, former.terminations().durable(),
				worker.runCount()));
		this.terminationsProcessedNanos.remove(former);
		this.eligibility.workerRestarted(worker.id());
		this.losses.handleRestart(worker, startedMillis);
		this.observers.workerReset(worker);
		releaseIfTokensAreUsedUp(worker);
		poll(worker);
	}

	private void handleReport(SentPoll poll, PollOutcome.Report report) {
		PoolWorker worker = poll.worker();
		if (poll.incarnation().isContradictedBy(report, poll.clockMillis())) {
			handleRestart(worker, report.startedMillis(), report.clockMillis());
			return;
		}
		boolean isFirst = !worker.incarnation().hasReported();
		worker.incarnation().recordReport(report, this.clock.nanos());
		worker.responseReceived(this.clock.nanos());
		worker.terminations().acknowledgementReceived(poll.acknowledged());
		this.crashes.workerAnswered(worker);
		if (isFirst) {
			this.losses.handleFirstReport(worker, report);
		}
		if (!worker.incarnation().isVerified()) {
			logUnverifiedReport(worker, report);
		}
		this.terminations.process(worker, report.terminatedTasks());
		passGaps(worker, poll.sentNanos());
		if (!worker.incarnation().isVerified() && report.complete()) {
			verify(poll, report);
		}
		this.adoption.reconcile(worker, report, poll.sentNanos());
		worker.suspectedRuns().workerAnswered(poll.sentNanos());
		// Until the complete report that verifies it, the worker counts as silent since
		// its loss.
		if (!worker.isReachable() && (worker.incarnation().isVerified() || !report.complete())) {
			worker.markReachable();
			this.log.write(new PoolDecision.WorkerReached(worker.id(), report.startedMillis().orElse(-1),
					report.runningTasks().size()));
		}
		if (worker.incarnation().isVerified()) {
			this.pool.inherited().markReconciled(worker.id());
		}
		this.listener.stateChanged();
		scheduleNextPoll(poll, report);
	}

	// A run that has just terminated may be in neither list of a report.
	private void verify(SentPoll poll, PollOutcome.Report report) {
		PoolWorker worker = poll.worker();
		if (!this.losses.mayHaveUnknownRuns(worker)
				|| worker.incarnation().markCompletelyReported(poll.sentNanos(), this.clock.nanos())) {
			this.losses.handleVerification(worker, report);
		}
	}

	private void passGaps(PoolWorker worker, long requestedNanos) {
		worker.terminations()
			.passGaps(requestedNanos)
			.forEach((gap) -> this.log.write(new PoolDecision.EndsNotListed(worker.id(),
					worker.incarnation().startedMillis().orElse(-1), gap.first(), gap.last())));
	}

	private void logUnverifiedReport(PoolWorker worker, PollOutcome.Report report) {
		List<TerminatedTask> ends = report.terminatedTasks();
		this.log.write(new PoolDecision.WorkerReported(worker.id(), report.startedMillis().orElse(-1),
				report.runningTasks().size(), ends.size(), ends.isEmpty() ? 0 : ends.get(0).sequence(),
				ends.isEmpty() ? 0 : ends.get(ends.size() - 1).sequence(), report.complete()));
	}

	private void scheduleNextPoll(SentPoll poll, PollOutcome.Report report) {
		PoolWorker worker = poll.worker();
		WorkerIncarnation incarnation = worker.incarnation();
		TerminationSequence reported = incarnation.terminations();
		if (report.complete() && incarnation.isReportDue()) {
			long dueMillis = incarnation.millisUntilNextReport(this.clock.nanos());
			pollAfter(worker, incarnation, reported.hasGap() ? Math.max(dueMillis, GAP_POLL_DELAY_MILLIS) : dueMillis);
		}
		else if (!reported.isDurable()) {
			this.terminationsProcessedNanos.putIfAbsent(incarnation, this.clock.nanos());
			awaitDurability(worker);
		}
		else if (!this.pool.mayGrantLease(worker)) {
			awaitDurability(worker);
		}
		else if (reported.hasGap()) {
			pollAfter(worker, incarnation, GAP_POLL_DELAY_MILLIS);
		}
		else if (!reported.deferred().isEmpty() || wouldRepeat(poll, report)) {
			pollAfter(worker, incarnation, UNACKNOWLEDGED_POLL_DELAY_MILLIS);
		}
		else {
			poll(worker);
		}
	}

	// A worker answers at once while it has terminations that are not acknowledged.
	private boolean wouldRepeat(SentPoll poll, PollOutcome.Report report) {
		boolean hasUnacknowledged = !report.complete() || !report.terminatedTasks().isEmpty();
		return hasUnacknowledged && poll.worker().acknowledgeableSequence(this.clock.nanos()) <= poll.acknowledged();
	}

	private void awaitDurability(PoolWorker worker) {
		WorkerIncarnation incarnation = worker.incarnation();
		this.awaitingDurability.put(incarnation, worker);
		this.control.schedule(() -> resumePolling(incarnation), MAX_DURABILITY_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Resumes the polls that were delayed until a write is durable.
	 */
	void onTerminationsDurable() {
		Map.copyOf(this.awaitingDurability).forEach((incarnation, worker) -> {
			if (incarnation.terminations().isDurable() && this.pool.mayGrantLease(worker)) {
				resumePolling(incarnation);
			}
		});
	}

	private void resumePolling(WorkerIncarnation incarnation) {
		PoolWorker worker = this.awaitingDurability.remove(incarnation);
		if (worker != null && worker.incarnation() == incarnation) {
			poll(worker);
		}
	}

	/**
	 * A poll that was sent. Immutable.
	 *
	 * @param worker the worker
	 * @param incarnation the incarnation that was expected to answer
	 * @param addressee the description of the worker when the poll was sent
	 * @param acknowledged the acknowledged sequence number
	 * @param sentNanos monotonic time at which it was sent
	 * @param clockMillis last known reading of the worker's clock at that time
	 */
	private record SentPoll(PoolWorker worker, WorkerIncarnation incarnation, WorkerInfo addressee, long acknowledged,
			long sentNanos, long clockMillis) {

	}

}
