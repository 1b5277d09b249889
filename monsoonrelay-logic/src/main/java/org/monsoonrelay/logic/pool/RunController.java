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
import org.monsoonrelay.logic.events.Measure;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.OnThread;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Looks at workers, starts and stops runs, and takes in what workers tell. Invariants: a
 * run holds its room until the worker has told its end, has refused the start, or cannot
 * run it any more; an order without an answer is repeated unchanged, and a start that
 * stays unanswered is closed off by a stop before its room is used again. Not
 * thread-safe: confined to the control thread.
 */
final class RunController {

	/**
	 * How long a worker may hold a look back until something ends, milliseconds. Renews
	 * leases seven times over and finds a silent connection within two seconds.
	 */
	private static final long POLL_WAIT_MILLIS = 1000;

	/** Pause between looks at a worker that does not answer, milliseconds. */
	private static final long UNREACHABLE_RETRY_MILLIS = 200;

	/** Longest pause of looks while ends wait to become durable, milliseconds. */
	private static final long MAX_DURABILITY_WAIT_MILLIS = 250;

	/**
	 * Pause of looks while ends of a job that is not known yet are kept, milliseconds. A
	 * worker answers at once while it lists ends.
	 */
	private static final long DEFERRED_POLL_DELAY_MILLIS = 100;

	/** Pause before an unanswered order is repeated, milliseconds. */
	private static final long START_RETRY_DELAY_MILLIS = 40;

	/** Unanswered starts after which the run is stopped instead. */
	private static final int MAX_START_REQUESTS = 4;

	/** How long a worker that turned a start down gets no other, milliseconds. */
	private static final long REFUSAL_BACKOFF_MILLIS = 500;

	private final WorkerClient workerClient;

	private final OwnerLease term;

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final RunTerminationHandler terminations;

	private final RunAdoption adoption;

	private final EligibilityTracker eligibility;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final RunListener listener;

	private final Set<String> awaitingDurability = new HashSet<>();

	private final Map<String, Long> terminationsProcessedNanos = new HashMap<>();

	private boolean closed;

	RunController(WorkerClient orders, OwnerLease term, WorkerPool pool, JobRegistry jobs, Predicate<String> isLoaded,
			EligibilityTracker eligibility, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			RunListener listener) {
		this.workerClient = orders;
		this.term = term;
		this.pool = pool;
		this.jobs = jobs;
		this.eligibility = eligibility;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.listener = listener;
		UnknownJobs unknown = new UnknownJobs(jobs, isLoaded, clock);
		this.terminations = new RunTerminationHandler(jobs, unknown, log, clock, this::stop);
		this.adoption = new RunAdoption(jobs, this.terminations, unknown, clock, this::confirm, this::stop);
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Look at a worker again and again.
	 * @param worker the worker
	 */
	void poll(PoolWorker worker) {
		boolean isKnown = this.pool.worker(worker.id()).filter((known) -> known == worker).isPresent();
		if (this.closed || !isKnown) {
			this.terminationsProcessedNanos.remove(worker.id());
			return;
		}
		long sentNanos = this.clock.nanos();
		if (worker.processedSequence() <= worker.durableSequence()) {
			Optional.ofNullable(this.terminationsProcessedNanos.remove(worker.id()))
				.ifPresent((taken) -> this.log.measured(Measure.ACKNOWLEDGEMENT, millisSince(taken)));
		}
		boolean extend = worker.isReachable() && this.term.canGrantLeases();
		OptionalLong lease = extend ? OptionalLong.of(worker.lease().extend(sentNanos, this.term.workerLeaseMillis()))
				: OptionalLong.empty();
		Duration wait = Duration.ofMillis(worker.isReachable() ? POLL_WAIT_MILLIS : 0);
		PollRequest order = new PollRequest(this.term.epoch(), worker.durableSequence(), lease, wait);
		this.workerClient.poll(worker.info(), order)
			.whenComplete(
					OnThread.of(this.control, (outcome, failure) -> handlePollOutcome(worker, outcome, sentNanos)));
	}

	private void handlePollOutcome(PoolWorker worker, PollOutcome outcome, long sentNanos) {
		if (this.closed) {
			return;
		}
		if (outcome instanceof PollOutcome.Report seen) {
			handleReport(worker, seen, sentNanos);
		}
		else if (outcome instanceof PollOutcome.Gone) {
			this.pool.markReconciled(worker.id());
			markLost(worker, "another life of the worker answers");
			this.pool.remove(worker.id());
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
		if (worker.isReachable()) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(), reason, worker.runCount()));
		}
		worker.markUnreachable();
		this.control.schedule(() -> poll(worker), UNREACHABLE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void handleReport(PoolWorker worker, PollOutcome.Report seen, long sentNanos) {
		worker.lease().updateClock(seen.clockMillis(), this.clock.nanos());
		worker.responseReceived(this.clock.nanos());
		this.terminations.process(worker, seen.terminatedTasks());
		this.adoption.reconcile(worker, seen.runningTasks(), sentNanos);
		if (!worker.isReachable()) {
			worker.markReachable();
			this.log.write(new PoolDecision.WorkerReached(worker.id(), seen.runningTasks().size()));
		}
		this.pool.markReconciled(worker.id());
		this.listener.stateChanged();
		if (worker.processedSequence() > worker.durableSequence()) {
			this.terminationsProcessedNanos.putIfAbsent(worker.id(), this.clock.nanos());
			this.awaitingDurability.add(worker.id());
			this.control.schedule(() -> resumePolling(worker.id()), MAX_DURABILITY_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (!worker.deferredTerminations().isEmpty()) {
			this.control.schedule(() -> poll(worker), DEFERRED_POLL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			poll(worker);
		}
	}

	/**
	 * Go on with looks that waited for ends to become durable.
	 */
	void onTerminationsDurable() {
		for (String id : List.copyOf(this.awaitingDurability)) {
			if (this.pool.worker(id)
				.filter((worker) -> worker.processedSequence() <= worker.durableSequence())
				.isPresent()) {
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
	 * Take in what workers have told of a job before it was known.
	 * @param job the job's id
	 */
	void onJobLoaded(String job) {
		this.adoption.onJobLoaded(job, this.pool.workers());
	}

	/**
	 * Start a task on a worker that has room for it.
	 * @param step the step
	 * @param index the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param ticket proof that the worker may run it, empty if none is needed
	 */
	void start(ActiveStep step, int index, int attempt, PoolWorker worker, String ticket) {
		long now = this.clock.nanos();
		TaskKey task = step.key().task(index);
		Run run = Run.starting(task, attempt, worker.id(), step.spec().committedSize(), now);
		run.setEstimateMillis(step.spec().estimateMillis());
		worker.add(run);
		step.addRun(run);
		this.log.write(new JobDecision.TaskPlaced(task.job(), task.toString(), attempt, worker.id(), this.term.epoch(),
				worker.lease().clockAgeMillis(now), this.terminations.ageMillis(step.job())));
		RunStartRequest order = new RunStartRequest(task, attempt, step.job().submission().spec(), 0, this.term.epoch(),
				step.progress().checkpoint(index), ticket);
		send(step, run, worker, order, 0);
	}

	private void send(ActiveStep step, Run run, PoolWorker worker, RunStartRequest order, int unanswered) {
		worker.requestSent(this.clock.nanos());
		long lease = worker.lease().extend(this.clock.nanos(), this.term.workerLeaseMillis());
		RunStartRequest leased = new RunStartRequest(order.task(), order.attempt(), order.spec(), lease,
				order.fencingToken(), order.checkpoint(), order.ticket());
		this.workerClient.start(worker.info(), leased).whenComplete(OnThread.of(this.control, (outcome, failure) -> {
			boolean isOver = worker.run(run.task()).filter((held) -> held == run).isEmpty();
			if (!this.closed && !isOver) {
				handleStartOutcome(step, run, worker, order, outcome, unanswered);
			}
		}));
	}

	private void handleStartOutcome(ActiveStep step, Run run, PoolWorker worker, RunStartRequest order,
			RunRequestOutcome outcome, int unanswered) {
		if (outcome.kind().isResponse()) {
			worker.responseReceived(this.clock.nanos());
		}
		if (outcome.kind() == RunRequestOutcome.Kind.DONE) {
			worker.lease().updateClock(outcome.clockMillis(), this.clock.nanos());
			this.log.measured(Measure.START, millisSince(run.requestedNanos()));
			confirm(run);
			return;
		}
		this.log.write(new JobDecision.StartFailed(run.task().job(), run.task().toString(), run.attempt(), worker.id(),
				outcome.kind().name()));
		switch (outcome.kind()) {
			case FENCED -> this.listener.workerFenced(worker.id());
			case GONE -> handlePollOutcome(worker, new PollOutcome.Gone(), 0);
			case NO_ANSWER -> retryStart(step, run, worker, order, unanswered + 1);
			default -> handleRefusedStart(step, run, worker, outcome.kind(), unanswered);
		}
	}

	private void confirm(Run run) {
		if (run.state() == Run.State.STARTING) {
			run.confirm(this.clock.nanos());
			this.jobs.job(run.task().job()).ifPresent(SubmittedJob::markStarted);
		}
	}

	private void retryStart(ActiveStep step, Run run, PoolWorker worker, RunStartRequest order, int unanswered) {
		if (run.state() != Run.State.STARTING) {
			return;
		}
		if (unanswered >= MAX_START_REQUESTS || step.job().isEnded() || !this.term.canGrantLeases()) {
			stop(run, "its start stays unanswered");
			return;
		}
		this.control.schedule(() -> {
			boolean isWanted = run.state() == Run.State.STARTING
					&& worker.run(run.task()).filter((held) -> held == run).isPresent();
			if (isWanted && !this.closed) {
				send(step, run, worker, order, unanswered);
			}
		}, START_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void handleRefusedStart(ActiveStep step, Run run, PoolWorker worker, RunRequestOutcome.Kind kind,
			int unanswered) {
		switch (kind) {
			case TICKET_REFUSED -> this.eligibility.ticketRefused(step.key(), worker.id());
			case OLD_ATTEMPT -> step.recordAttempt(run.task().index(), run.attempt() + 1);
			default -> worker.failures().avoid(this.clock.nanos(), REFUSAL_BACKOFF_MILLIS);
		}
		if (unanswered > 0 || run.state() != Run.State.STARTING) {
			// An earlier order may yet be carried out.
			stop(run, "a repeated start was refused");
			return;
		}
		this.terminations.handleRefusedStart(worker, run);
		this.listener.stateChanged();
	}

	/**
	 * Stop a run, or keep it from starting.
	 * @param run the run
	 * @param reason why
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
		boolean isOver = worker.run(run.task()).filter((held) -> held == run).isEmpty();
		if (this.closed || isOver) {
			return;
		}
		this.workerClient.stop(worker.info(), run.task(), run.attempt(), this.term.epoch())
			.whenComplete(OnThread.of(this.control, (outcome, failure) -> {
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
	 * Stop what runs of a job that has ended.
	 * @param job the job
	 */
	void onJobEnded(SubmittedJob job) {
		this.terminations.handleJobEnd(job);
	}

	/**
	 * Send nothing more to workers that have become silent.
	 */
	void suspectUnresponsiveWorkers() {
		for (PoolWorker worker : UnresponsiveWorkerDetector.updateSuspicions(this.pool.workers(), this.clock.nanos())) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(),
					"orders there or in its failure domain are unanswered", worker.runCount()));
		}
	}

	/**
	 * Give up workers whose lease has lapsed, and forget those that are gone for good.
	 */
	void expireLeases() {
		long now = this.clock.nanos();
		for (PoolWorker worker : List.copyOf(this.pool.workers())) {
			worker.expireReservations(now);
			boolean isOver = !worker.isReachable() && (!worker.lease().isClockKnown() || worker.lease().isExpired(now));
			if (!isOver) {
				continue;
			}
			if (worker.lease().isClockKnown() && !worker.isLost()) {
				markLost(worker, "its lease has lapsed");
				this.listener.stateChanged();
			}
			if (!worker.isListed()) {
				this.pool.remove(worker.id());
			}
		}
	}

	private void markLost(PoolWorker worker, String reason) {
		if (worker.isLost()) {
			return;
		}
		this.log.write(new PoolDecision.WorkerLost(worker.id(), reason, worker.runCount()));
		for (Run run : worker.runs()) {
			this.terminations.handleLostRun(worker, run, reason);
		}
		worker.markLost();
	}

}
