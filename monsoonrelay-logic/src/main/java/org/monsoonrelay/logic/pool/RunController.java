package org.monsoonrelay.logic.pool;

import java.util.Optional;
import java.util.OptionalLong;
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
 * Starts and stops runs and processes the responses. Invariants: a run occupies its
 * capacity until the worker reports its termination, refuses its start or can no longer
 * run it; a stop without a response is repeated; a start without a response is repeated,
 * unchanged, only if it does no harm that another incarnation of the worker executes it;
 * a start that remains unanswered is followed by a stop before its capacity is reused.
 * Not thread-safe: confined to the control thread.
 */
final class RunController {

	/** Delay before a stop without a response is sent again, milliseconds. */
	private static final long STOP_RETRY_DELAY_MILLIS = 200;

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

	private final WorkerPoller poller;

	private final RunObservers observers;

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
		this.observers = new RunObservers(jobs, clock);
		UnknownJobs unknownJobs = new UnknownJobs(jobs, isLoaded, clock);
		this.crashes = new CrashTracker(jobs, pool, log, clock);
		this.inheritedStarts = new InheritedStarts(jobs, log);
		this.terminations = new RunTerminationHandler(ownerLease, jobs, unknownJobs, this.crashes, this.inheritedStarts,
				this.observers, log, clock, this::stop);
		this.losses = new WorkerLossHandler(pool, jobs, this.terminations, this.crashes, this.inheritedStarts, clock,
				log);
		this.adoption = new RunAdoption(jobs, this.terminations, unknownJobs, this.observers, clock, log, this::confirm,
				this::stop);
		this.poller = new WorkerPoller(workerClient, ownerLease, pool, this.crashes, this.terminations, this.losses,
				this.adoption, this.observers, eligibility, control, clock, log, listener);
	}

	void close() {
		this.closed = true;
		this.poller.close();
	}

	/**
	 * Polls a worker repeatedly until it is removed from the pool.
	 * @param worker the worker
	 */
	void poll(PoolWorker worker) {
		this.poller.poll(worker);
	}

	/**
	 * Handles a worker whose entry in the worker list shows a restart.
	 * @param worker the worker
	 */
	void handleListedRestart(PoolWorker worker) {
		this.poller.handleListedRestart(worker);
	}

	/**
	 * Resumes the polls that were delayed until terminations are durable.
	 */
	void onTerminationsDurable() {
		this.poller.onTerminationsDurable();
	}

	private long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - nanos);
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
	 * Processes progress of an earlier owner that was read after its job.
	 * @param job the job, to which the progress was added
	 * @param wasEnded whether it had ended before
	 */
	void onProgressJoined(SubmittedJob job, boolean wasEnded) {
		this.terminations.stopDoneTasks(job);
		if (job.isEnded() && !wasEnded) {
			onJobEnded(job);
		}
		this.losses.onJobLoaded(job.id());
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
		if (!step.progress().checkpoint(index).isEmpty()) {
			run.markResumed();
		}
		worker.add(run);
		step.addRun(run);
		this.inheritedStarts.recordStart(step, task, attempt);
		this.log.write(new JobDecision.TaskPlaced(task.job(), task.toString(), attempt, worker.id(),
				worker.incarnation().startedMillis().orElse(-1), this.ownerLease.epoch(),
				worker.lease().clockAgeMillis(now), this.ownerLease.renewalAgeMillis(),
				this.terminations.ageMillis(step.job())));
		RunStartRequest request = new RunStartRequest(task, attempt, step.job().submission().spec(), 0,
				fencingToken(worker), step.progress().checkpoint(index), ticket);
		send(step, run, worker, request, 0);
	}

	private void send(ActiveStep step, Run run, PoolWorker worker, RunStartRequest request, int retries) {
		worker.responses().requestSent(this.clock.nanos());
		if (!LateStartPolicy.isHarmless(step.spec(), request.ticket())) {
			this.jobs.unresolvedStarts().record(run.task(), run.attempt(), this.clock.nanos());
		}
		Addressee addressee = Addressee.of(worker);
		long leaseEndMillis = worker.lease().extend(this.clock.nanos(), this.ownerLease.workerLeaseMillis());
		RunStartRequest leased = new RunStartRequest(request.task(), request.attempt(), request.spec(), leaseEndMillis,
				fencingToken(worker), request.checkpoint(), request.ticket());
		this.workerClient.start(worker.info(), leased)
			.whenComplete(ExecutorCallback.on(this.control, (outcome, failure) -> {
				if (outcome.kind() != RunRequestOutcome.Kind.NO_ANSWER) {
					this.jobs.unresolvedStarts().resolve(run.task(), run.attempt());
				}
				boolean isReleased = worker.run(run.task()).filter((active) -> active == run).isEmpty();
				if (this.closed || isReleased || !addressee.isCurrent(worker)) {
					// After a restart, the next report shows whether the run is active.
					return;
				}
				if (addressee.hasRestarted(outcome)) {
					this.poller.handleRestart(worker, OptionalLong.empty(), outcome.clockMillis());
					return;
				}
				handleStartOutcome(step, run, addressee, request, outcome, retries);
			}));
	}

	private long fencingToken(PoolWorker worker) {
		return this.ownerLease.fencingToken(worker.incarnation().tokenGeneration());
	}

	private void handleStartOutcome(ActiveStep step, Run run, Addressee addressee, RunStartRequest request,
			RunRequestOutcome outcome, int retries) {
		PoolWorker worker = addressee.worker();
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
				addressee.incarnation().startedMillis().orElse(-1), outcome.kind().name(), retries + 1,
				millisSince(run.requestedNanos())));
		switch (outcome.kind()) {
			case FENCED -> handleFencedStart(step, run, addressee, request, retries);
			case GONE -> handleReplacedBeforeStart(step, run, addressee, request, retries);
			case NO_ANSWER -> handleUnansweredStart(step, run, worker, request, retries);
			default -> handleRefusedStart(step, run, worker, outcome.kind(), retries);
		}
	}

	private void handleFencedStart(ActiveStep step, Run run, Addressee addressee, RunStartRequest request,
			int retries) {
		if (addressee.hasCurrentToken()) {
			this.listener.workerFenced(addressee.worker().id());
			return;
		}
		retryStart(step, run, addressee.worker(), request, retries + 1);
	}

	private void handleReplacedBeforeStart(ActiveStep step, Run run, Addressee addressee, RunStartRequest request,
			int retries) {
		PoolWorker worker = addressee.worker();
		if (!worker.isAt(addressee.info())) {
			retryStart(step, run, worker, request, retries + 1);
			return;
		}
		if (retries == 0) {
			// No earlier request can have started the run on the former worker.
			this.terminations.handleRefusedStart(worker, run);
		}
		this.poller.handleReplaced(worker);
	}

	private void confirm(Run run) {
		if (run.state() == Run.State.STARTING) {
			if (run.isStartUnanswered()) {
				logLateConfirmation(run);
			}
			run.confirm(this.clock.nanos());
			this.jobs.job(run.task().job()).ifPresent(this.jobs::markStarted);
			this.observers.started(run);
		}
	}

	private void logLateConfirmation(Run run) {
		this.pool.worker(run.workerId())
			.ifPresent((worker) -> this.log.write(new JobDecision.StartConfirmedLate(run.task().job(),
					run.task().toString(), run.attempt(), worker.id(), worker.incarnation().startedMillis().orElse(-1),
					millisSince(run.requestedNanos()))));
	}

	private void handleUnansweredStart(ActiveStep step, Run run, PoolWorker worker, RunStartRequest request,
			int retries) {
		step.recordUnansweredStart(run);
		if (LateStartPolicy.isHarmless(step.spec(), request.ticket())) {
			retryStart(step, run, worker, request, retries + 1);
			return;
		}
		WorkerIncarnation incarnation = worker.incarnation();
		long remainingMillis = UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS - millisSince(run.requestedNanos());
		this.control.schedule(() -> {
			if (isAwaitingStart(run, worker, incarnation)) {
				stop(run, "its start stays unanswered");
			}
		}, Math.max(0, remainingMillis), TimeUnit.MILLISECONDS);
	}

	private boolean isAwaitingStart(Run run, PoolWorker worker, WorkerIncarnation incarnation) {
		return !this.closed && run.state() == Run.State.STARTING && worker.incarnation() == incarnation
				&& worker.run(run.task()).filter((active) -> active == run).isPresent();
	}

	private void retryStart(ActiveStep step, Run run, PoolWorker worker, RunStartRequest request, int retries) {
		if (run.state() != Run.State.STARTING) {
			return;
		}
		if (retries >= MAX_START_REQUESTS || step.job().isEnded() || !this.ownerLease.canGrantLeases()) {
			stop(run, "its start stays unanswered");
			return;
		}
		WorkerIncarnation incarnation = worker.incarnation();
		this.control.schedule(() -> {
			if (!isAwaitingStart(run, worker, incarnation)) {
				return;
			}
			if (!this.pool.mayGrantLease(worker)) {
				stop(run, "its start stays unanswered");
				return;
			}
			run.markStartRepeated();
			send(step, run, worker, request, retries);
		}, START_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void handleRefusedStart(ActiveStep step, Run run, PoolWorker worker, RunRequestOutcome.Kind kind,
			int retries) {
		switch (kind) {
			case TICKET_REFUSED -> this.eligibility.ticketRefused(step.key(), worker.id());
			case OLD_ATTEMPT -> step.recordAttempt(run.task().index(), run.attempt() + 1);
			default -> worker.failures().pause(this.clock.nanos(), REFUSAL_BACKOFF_MILLIS);
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
		Addressee addressee = Addressee.of(worker);
		this.workerClient.stop(worker.info(), run.task(), run.attempt(), fencingToken(worker))
			.whenComplete(ExecutorCallback.on(this.control,
					(outcome, failure) -> handleStopOutcome(run, addressee, outcome)));
	}

	private void handleStopOutcome(Run run, Addressee addressee, RunRequestOutcome outcome) {
		PoolWorker worker = addressee.worker();
		boolean isFenced = outcome.kind() == RunRequestOutcome.Kind.FENCED && addressee.hasCurrentToken();
		boolean isReplaced = outcome.kind() == RunRequestOutcome.Kind.GONE && worker.isAt(addressee.info());
		if (this.closed) {
			return;
		}
		if (isFenced) {
			this.listener.workerFenced(worker.id());
		}
		else if (isReplaced) {
			this.poller.handleReplaced(worker);
		}
		else if (addressee.isCurrent(worker) && addressee.hasRestarted(outcome)) {
			this.poller.handleRestart(worker, OptionalLong.empty(), outcome.clockMillis());
			sendStop(run, worker);
		}
		else if (addressee.isCurrent(worker) && outcome.kind() == RunRequestOutcome.Kind.DONE) {
			run.confirm(this.clock.nanos());
		}
		else {
			this.control.schedule(() -> sendStop(run, worker), STOP_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
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
	 * Expires holds, leases and unanswered starts, and removes expired workers that are
	 * no longer listed.
	 */
	void expireLeases() {
		this.jobs.unresolvedStarts().expire(this.clock.nanos());
		if (this.losses.expireLeases()) {
			this.listener.stateChanged();
		}
	}

	/**
	 * Adds an observer, which is notified of all runs from now on.
	 * @param observer the observer
	 */
	void observe(RunObserver observer) {
		this.observers.add(observer);
	}

	InheritedStarts inheritedStarts() {
		return this.inheritedStarts;
	}

	WorkerLossHandler losses() {
		return this.losses;
	}

}
