package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.Metric;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.ExecutorCallback;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Polls workers, starts and stops runs, and processes the responses. Invariants: a run
 * occupies its capacity until the worker reports its termination, refuses its start or
 * can no longer run it; a request without a response is retried unchanged, and a start
 * that remains unanswered is followed by a stop before its capacity is reused. Not
 * thread-safe: confined to the control thread.
 */
final class RunController {

	/**
	 * Maximum delay of a poll response while no run terminates, milliseconds. Renews a
	 * lease seven times before it expires and detects a dead connection within two
	 * seconds.
	 */
	private static final long POLL_WAIT_MILLIS = 1000;

	/** Delay before a request to an unreachable worker is retried, milliseconds. */
	private static final long UNREACHABLE_RETRY_MILLIS = 200;

	/** Maximum delay of polls until terminations are durable, milliseconds. */
	private static final long MAX_DURABILITY_WAIT_MILLIS = 250;

	/** Poll delay while deferred terminations end polls at once, milliseconds. */
	private static final long DEFERRED_POLL_DELAY_MILLIS = 100;

	/** Delay before an unanswered start is retried, milliseconds. */
	private static final long START_RETRY_DELAY_MILLIS = 40;

	/** Number of unanswered start requests after which the run is stopped. */
	private static final int MAX_START_REQUESTS = 4;

	/** How long a worker is avoided after it refused a start, milliseconds. */
	private static final long REFUSAL_BACKOFF_MILLIS = 500;

	private final WorkerClient workerClient;

	private final OwnerLease ownerLease;

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final CrashTracker crashes;

	private final InheritedStarts inheritedStarts;

	private final RunTerminationHandler terminations;

	private final WorkerLossHandler losses;

	private final RunAdoption adoption;

	private final EligibilityTracker eligibility;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final RunListener listener;

	private final Set<String> awaitingDurability = new HashSet<>();

	private final Map<String, Long> terminationsProcessedNanos = new HashMap<>();

	private boolean closed;

	RunController(WorkerClient workerClient, OwnerLease ownerLease, WorkerPool pool, JobRegistry jobs,
			Predicate<String> isLoaded, EligibilityTracker eligibility, ScheduledExecutorService control,
			PoolClock clock, DecisionLog log, RunListener listener) {
		this.workerClient = workerClient;
		this.ownerLease = ownerLease;
		this.pool = pool;
		this.jobs = jobs;
		this.eligibility = eligibility;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.listener = listener;
		UnknownJobs unknownJobs = new UnknownJobs(jobs, isLoaded, clock);
		this.crashes = new CrashTracker(jobs, pool, log, clock);
		this.inheritedStarts = new InheritedStarts(jobs);
		this.terminations = new RunTerminationHandler(jobs, unknownJobs, this.crashes, this.inheritedStarts, log, clock,
				this::stop);
		this.losses = new WorkerLossHandler(pool, jobs, this.terminations, this.crashes, this.inheritedStarts, clock,
				log);
		this.adoption = new RunAdoption(jobs, this.terminations, unknownJobs, clock, this::confirm, this::stop);
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Polls a worker repeatedly until it is removed from the pool.
	 * @param worker the worker
	 */
	void poll(PoolWorker worker) {
		boolean isKnown = this.pool.worker(worker.id()).filter((known) -> known == worker).isPresent();
		if (this.closed || !isKnown) {
			this.terminationsProcessedNanos.remove(worker.id());
			return;
		}
		long sentNanos = this.clock.nanos();
		if (worker.terminations().isDurable()) {
			Optional.ofNullable(this.terminationsProcessedNanos.remove(worker.id()))
				.ifPresent((processedNanos) -> this.log.recordMetric(Metric.ACKNOWLEDGEMENT_LATENCY,
						millisSince(processedNanos)));
		}
		boolean extendLease = worker.isReachable() && this.ownerLease.canGrantLeases();
		OptionalLong leaseEndMillis = extendLease
				? OptionalLong.of(worker.lease().extend(sentNanos, this.ownerLease.workerLeaseMillis()))
				: OptionalLong.empty();
		Duration wait = Duration.ofMillis(worker.isReachable() ? POLL_WAIT_MILLIS : 0);
		PollRequest request = new PollRequest(this.ownerLease.epoch(), worker.terminations().durable(), leaseEndMillis,
				wait);
		this.workerClient.poll(worker.info(), request)
			.whenComplete(ExecutorCallback.on(this.control,
					(outcome, failure) -> handlePollOutcome(worker, outcome, sentNanos)));
	}

	private void handlePollOutcome(PoolWorker worker, PollOutcome outcome, long sentNanos) {
		if (this.closed) {
			return;
		}
		if (outcome instanceof PollOutcome.Report report) {
			handleReport(worker, report, sentNanos);
		}
		else if (outcome instanceof PollOutcome.Gone) {
			this.losses.handleReplaced(worker);
			this.listener.stateChanged();
		}
		else if (outcome instanceof PollOutcome.Fenced) {
			this.listener.workerFenced(worker.id());
		}
		else {
			handleNoAnswer(worker, (outcome instanceof PollOutcome.NoAnswer none) ? none.reason() : "no outcome");
		}
	}

	private long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - nanos);
	}

	private void handleNoAnswer(PoolWorker worker, String reason) {
		this.losses.handleUnreachable(worker, reason);
		this.control.schedule(() -> poll(worker), UNREACHABLE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void handleReport(PoolWorker worker, PollOutcome.Report report, long sentNanos) {
		logIfRestarted(worker, report);
		worker.incarnation().recordStart(report.startedMillis());
		worker.lease().updateClock(report.clockMillis(), this.clock.nanos());
		worker.responseReceived(this.clock.nanos());
		this.crashes.workerAnswered(worker.id());
		this.terminations.process(worker, report.terminatedTasks());
		this.adoption.reconcile(worker, report.runningTasks(), sentNanos);
		if (!worker.isReachable()) {
			worker.markReachable();
			this.log.write(new PoolDecision.WorkerReached(worker.id(), report.startedMillis().orElse(-1),
					report.runningTasks().size()));
		}
		this.pool.markReconciled(worker.id());
		this.listener.stateChanged();
		if (!worker.terminations().isDurable()) {
			this.terminationsProcessedNanos.putIfAbsent(worker.id(), this.clock.nanos());
			this.awaitingDurability.add(worker.id());
			this.control.schedule(() -> resumePolling(worker.id()), MAX_DURABILITY_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (!worker.terminations().deferred().isEmpty()) {
			this.control.schedule(() -> poll(worker), DEFERRED_POLL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			poll(worker);
		}
	}

	private void logIfRestarted(PoolWorker worker, PollOutcome.Report report) {
		WorkerIncarnation known = worker.incarnation();
		if (known.isContradictedBy(report)) {
			this.log.write(new PoolDecision.WorkerRestarted(worker.id(), known.startedMillis().orElse(-1),
					report.startedMillis().orElse(-1), known.lease().clockMillis(), report.clockMillis(),
					known.terminations().durable(), worker.runCount()));
		}
	}

	/**
	 * Resumes the polls that were delayed until terminations are durable.
	 */
	void onTerminationsDurable() {
		for (String id : List.copyOf(this.awaitingDurability)) {
			if (this.pool.worker(id).filter((worker) -> worker.terminations().isDurable()).isPresent()) {
				resumePolling(id);
			}
		}
	}

	private void resumePolling(String id) {
		if (this.awaitingDurability.remove(id)) {
			this.pool.worker(id).ifPresent(this::poll);
		}
	}

	/**
	 * Processes the runs and terminations reported for a job before it was loaded.
	 * @param job the job's id
	 */
	void onJobLoaded(String job) {
		this.terminations.onJobLoaded(job);
		this.adoption.onJobLoaded(job, this.pool.workers());
		this.losses.onJobLoaded(job);
	}

	/**
	 * Starts a task on a worker with enough free capacity.
	 * @param step the step
	 * @param index the index of the task in the step
	 * @param attempt the attempt number
	 * @param worker the worker
	 * @param ticket the eligibility ticket, empty if none is required
	 */
	void start(ActiveStep step, int index, int attempt, PoolWorker worker, String ticket) {
		long now = this.clock.nanos();
		TaskKey task = step.key().task(index);
		Run run = Run.starting(task, attempt, worker.id(), step.spec().committedSize(), now);
		run.setEstimateMillis(step.spec().estimateMillis());
		run.setSuspicion(step.suspicion(index));
		worker.add(run);
		step.addRun(run);
		this.log.write(new JobDecision.TaskPlaced(task.job(), task.toString(), attempt, worker.id(),
				this.ownerLease.epoch(), worker.lease().clockAgeMillis(now), this.terminations.ageMillis(step.job())));
		RunStartRequest request = new RunStartRequest(task, attempt, step.job().submission().spec(), 0,
				this.ownerLease.epoch(), step.progress().checkpoint(index), ticket);
		send(step, run, worker, request, 0);
	}

	private void send(ActiveStep step, Run run, PoolWorker worker, RunStartRequest request, int retries) {
		worker.requestSent(this.clock.nanos());
		long leaseEndMillis = worker.lease().extend(this.clock.nanos(), this.ownerLease.workerLeaseMillis());
		RunStartRequest leased = new RunStartRequest(request.task(), request.attempt(), request.spec(), leaseEndMillis,
				request.fencingToken(), request.checkpoint(), request.ticket());
		this.workerClient.start(worker.info(), leased)
			.whenComplete(ExecutorCallback.on(this.control, (outcome, failure) -> {
				boolean isReleased = worker.run(run.task()).filter((active) -> active == run).isEmpty();
				if (!this.closed && !isReleased) {
					handleStartOutcome(step, run, worker, request, outcome, retries);
				}
			}));
	}

	private void handleStartOutcome(ActiveStep step, Run run, PoolWorker worker, RunStartRequest request,
			RunRequestOutcome outcome, int retries) {
		if (outcome.kind().isResponse()) {
			worker.responseReceived(this.clock.nanos());
		}
		if (outcome.kind() == RunRequestOutcome.Kind.DONE) {
			worker.lease().updateClock(outcome.clockMillis(), this.clock.nanos());
			this.log.recordMetric(Metric.START_LATENCY, millisSince(run.requestedNanos()));
			confirm(run);
			return;
		}
		this.log.write(new JobDecision.StartFailed(run.task().job(), run.task().toString(), run.attempt(), worker.id(),
				outcome.kind().name()));
		switch (outcome.kind()) {
			case FENCED -> this.listener.workerFenced(worker.id());
			case GONE -> handleReplacedBeforeStart(run, worker, retries);
			case NO_ANSWER -> retryStart(step, run, worker, request, retries + 1);
			default -> handleRefusedStart(step, run, worker, outcome.kind(), retries);
		}
	}

	private void handleReplacedBeforeStart(Run run, PoolWorker worker, int retries) {
		if (retries == 0) {
			// No earlier request can have started the run on the former incarnation.
			this.terminations.handleRefusedStart(worker, run);
		}
		handlePollOutcome(worker, new PollOutcome.Gone(), 0);
	}

	private void confirm(Run run) {
		if (run.state() == Run.State.STARTING) {
			run.confirm(this.clock.nanos());
			this.jobs.job(run.task().job()).ifPresent(SubmittedJob::markStarted);
		}
	}

	private void retryStart(ActiveStep step, Run run, PoolWorker worker, RunStartRequest request, int retries) {
		if (run.state() != Run.State.STARTING) {
			return;
		}
		if (retries >= MAX_START_REQUESTS || step.job().isEnded() || !this.ownerLease.canGrantLeases()) {
			stop(run, "its start stays unanswered");
			return;
		}
		this.control.schedule(() -> {
			boolean isWanted = run.state() == Run.State.STARTING
					&& worker.run(run.task()).filter((active) -> active == run).isPresent();
			if (isWanted && !this.closed) {
				send(step, run, worker, request, retries);
			}
		}, START_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void handleRefusedStart(ActiveStep step, Run run, PoolWorker worker, RunRequestOutcome.Kind kind,
			int retries) {
		switch (kind) {
			case TICKET_REFUSED -> this.eligibility.ticketRefused(step.key(), worker.id());
			case OLD_ATTEMPT -> step.recordAttempt(run.task().index(), run.attempt() + 1);
			default -> worker.failures().avoid(this.clock.nanos(), REFUSAL_BACKOFF_MILLIS);
		}
		if (retries > 0 || run.state() != Run.State.STARTING) {
			// An earlier start request may still be executed.
			stop(run, "a repeated start was refused");
			return;
		}
		this.terminations.handleRefusedStart(worker, run);
		this.listener.stateChanged();
	}

	/**
	 * Stops a run, or prevents its start.
	 * @param run the run
	 * @param reason the reason for the log
	 */
	void stop(Run run, String reason) {
		Optional<PoolWorker> worker = this.pool.worker(run.workerId());
		if (worker.isEmpty() || run.state() == Run.State.STOPPING) {
			return;
		}
		run.markStopping();
		this.log.write(new JobDecision.TaskStopped(run.task().job(), run.task().toString(), run.attempt(),
				run.workerId(), reason));
		sendStop(run, worker.get());
	}

	private void sendStop(Run run, PoolWorker worker) {
		boolean isReleased = worker.run(run.task()).filter((active) -> active == run).isEmpty();
		if (this.closed || isReleased) {
			return;
		}
		this.workerClient.stop(worker.info(), run.task(), run.attempt(), this.ownerLease.epoch())
			.whenComplete(ExecutorCallback.on(this.control, (outcome, failure) -> {
				switch (outcome.kind()) {
					case DONE -> run.confirm(this.clock.nanos());
					case FENCED -> this.listener.workerFenced(worker.id());
					case GONE -> handlePollOutcome(worker, new PollOutcome.Gone(), 0);
					default -> this.control.schedule(() -> sendStop(run, worker), UNREACHABLE_RETRY_MILLIS,
							TimeUnit.MILLISECONDS);
				}
			}));
	}

	/**
	 * Stops all runs of a job that has ended.
	 * @param job the job
	 */
	void onJobEnded(SubmittedJob job) {
		this.terminations.handleJobEnd(job);
	}

	/**
	 * Places no more tasks on workers that have become unresponsive.
	 */
	void suspectUnresponsiveWorkers() {
		for (PoolWorker worker : UnresponsiveWorkerDetector.updateSuspicions(this.pool.workers(), this.clock.nanos())) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(),
					"orders there or in its failure domain are unanswered", worker.runCount()));
		}
	}

	/**
	 * Expires holds and leases, and removes expired workers that are no longer listed.
	 */
	void expireLeases() {
		if (this.losses.expireLeases()) {
			this.listener.stateChanged();
		}
	}

	InheritedStarts inheritedStarts() {
		return this.inheritedStarts;
	}

	WorkerLossHandler losses() {
		return this.losses;
	}

}
