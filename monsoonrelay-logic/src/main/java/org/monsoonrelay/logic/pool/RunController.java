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
	private static final long LOOK_WAIT_MILLIS = 1000;

	/** Pause between looks at a worker that does not answer, milliseconds. */
	private static final long SILENT_PAUSE_MILLIS = 200;

	/** Longest pause of looks while ends wait to become durable, milliseconds. */
	private static final long DURABLE_PAUSE_MILLIS = 250;

	/**
	 * Pause of looks while ends of a job that is not known yet are kept, milliseconds. A
	 * worker answers at once while it lists ends.
	 */
	private static final long KEPT_PAUSE_MILLIS = 100;

	/** Pause before an unanswered order is repeated, milliseconds. */
	private static final long REPEAT_MILLIS = 40;

	/** Unanswered starts after which the run is stopped instead. */
	private static final int MOST_STARTS = 4;

	/** How long a worker that turned a start down gets no other, milliseconds. */
	private static final long REFUSED_PAUSE_MILLIS = 500;

	private final WorkerOrders orders;

	private final OwnerLease term;

	private final WorkerPool pool;

	private final JobRegistry jobs;

	private final TaskEnds ends;

	private final RunAdoption adoption;

	private final EligibilityTracker eligibility;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final RunListener listener;

	private final Set<String> waitingForDurable = new HashSet<>();

	private final Map<String, Long> endsTakenNanos = new HashMap<>();

	private boolean closed;

	RunController(WorkerOrders orders, OwnerLease term, WorkerPool pool, JobRegistry jobs, Predicate<String> isLoaded,
			EligibilityTracker eligibility, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			RunListener listener) {
		this.orders = orders;
		this.term = term;
		this.pool = pool;
		this.jobs = jobs;
		this.eligibility = eligibility;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.listener = listener;
		UnknownJobs unknown = new UnknownJobs(jobs, isLoaded, clock);
		this.ends = new TaskEnds(jobs, unknown, log, clock, this::stop);
		this.adoption = new RunAdoption(jobs, this.ends, unknown, clock, this::confirm, this::stop);
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Look at a worker again and again.
	 * @param worker the worker
	 */
	void watch(PoolWorker worker) {
		boolean isKnown = this.pool.worker(worker.id()).filter((known) -> known == worker).isPresent();
		if (this.closed || !isKnown) {
			this.endsTakenNanos.remove(worker.id());
			return;
		}
		long sentNanos = this.clock.nanos();
		if (worker.processedEnds() <= worker.durableEnds()) {
			Optional.ofNullable(this.endsTakenNanos.remove(worker.id()))
				.ifPresent((taken) -> this.log.measured(Measure.ACKNOWLEDGEMENT, millisSince(taken)));
		}
		boolean extend = worker.isReached() && this.term.canGrantLeases();
		OptionalLong lease = extend ? OptionalLong.of(worker.lease().extend(sentNanos, this.term.workerLeaseMillis()))
				: OptionalLong.empty();
		Duration wait = Duration.ofMillis(worker.isReached() ? LOOK_WAIT_MILLIS : 0);
		LookOrder order = new LookOrder(this.term.epoch(), worker.durableEnds(), lease, wait);
		this.orders.look(worker.info(), order)
			.whenComplete(OnThread.of(this.control, (outcome, failure) -> looked(worker, outcome, sentNanos)));
	}

	private void looked(PoolWorker worker, LookOutcome outcome, long sentNanos) {
		if (this.closed) {
			return;
		}
		if (outcome instanceof LookOutcome.Seen seen) {
			seen(worker, seen, sentNanos);
		}
		else if (outcome instanceof LookOutcome.Gone) {
			this.pool.accounted(worker.id());
			lose(worker, "another life of the worker answers");
			this.pool.remove(worker.id());
			this.listener.changed();
		}
		else if (outcome instanceof LookOutcome.Fenced) {
			this.listener.fenced(worker.id());
		}
		else {
			silent(worker, (outcome instanceof LookOutcome.NoAnswer none) ? none.reason() : "no outcome");
		}
	}

	private long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - nanos);
	}

	private void silent(PoolWorker worker, String reason) {
		if (worker.isReached()) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(), reason, worker.runCount()));
		}
		worker.markSilent();
		this.control.schedule(() -> watch(worker), SILENT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void seen(PoolWorker worker, LookOutcome.Seen seen, long sentNanos) {
		worker.lease().heard(seen.clockMillis(), this.clock.nanos());
		worker.heard(this.clock.nanos());
		this.ends.take(worker, seen.ended());
		this.adoption.reconcile(worker, seen.running(), sentNanos);
		if (!worker.isReached()) {
			worker.markReached();
			this.log.write(new PoolDecision.WorkerReached(worker.id(), seen.running().size()));
		}
		this.pool.accounted(worker.id());
		this.listener.changed();
		if (worker.processedEnds() > worker.durableEnds()) {
			this.endsTakenNanos.putIfAbsent(worker.id(), this.clock.nanos());
			this.waitingForDurable.add(worker.id());
			this.control.schedule(() -> resume(worker.id()), DURABLE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (!worker.keptEnds().isEmpty()) {
			this.control.schedule(() -> watch(worker), KEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			watch(worker);
		}
	}

	/**
	 * Go on with looks that waited for ends to become durable.
	 */
	void durable() {
		for (String id : List.copyOf(this.waitingForDurable)) {
			if (this.pool.worker(id).filter((worker) -> worker.processedEnds() <= worker.durableEnds()).isPresent()) {
				resume(id);
			}
		}
	}

	private void resume(String id) {
		if (this.waitingForDurable.remove(id)) {
			this.pool.worker(id).ifPresent(this::watch);
		}
	}

	/**
	 * Take in what workers have told of a job before it was known.
	 * @param job the job's id
	 */
	void learnt(String job) {
		this.adoption.learnt(job, this.pool.all());
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
		Run run = Run.ordered(task, attempt, worker.id(), step.spec().committedSize(), now);
		run.declare(step.spec().estimateMillis());
		worker.add(run);
		step.addRun(run);
		this.log.write(new JobDecision.TaskPlaced(task.job(), task.toString(), attempt, worker.id(), this.term.epoch(),
				worker.lease().ageMillis(now), this.ends.ageMillis(step.job())));
		StartOrder order = new StartOrder(task, attempt, step.job().submission().spec(), 0, this.term.epoch(),
				step.progress().checkpoint(index), ticket);
		send(step, run, worker, order, 0);
	}

	private void send(ActiveStep step, Run run, PoolWorker worker, StartOrder order, int unanswered) {
		worker.ordered(this.clock.nanos());
		long lease = worker.lease().extend(this.clock.nanos(), this.term.workerLeaseMillis());
		StartOrder leased = new StartOrder(order.task(), order.attempt(), order.spec(), lease, order.fence(),
				order.checkpoint(), order.ticket());
		this.orders.start(worker.info(), leased).whenComplete(OnThread.of(this.control, (outcome, failure) -> {
			boolean isOver = worker.run(run.task()).filter((held) -> held == run).isEmpty();
			if (!this.closed && !isOver) {
				started(step, run, worker, order, outcome, unanswered);
			}
		}));
	}

	private void started(ActiveStep step, Run run, PoolWorker worker, StartOrder order, StartOutcome outcome,
			int unanswered) {
		if (outcome.kind().isAnswer()) {
			worker.heard(this.clock.nanos());
		}
		if (outcome.kind() == StartOutcome.Kind.DONE) {
			worker.lease().heard(outcome.clockMillis(), this.clock.nanos());
			this.log.measured(Measure.START, millisSince(run.orderedNanos()));
			confirm(run);
			return;
		}
		this.log.write(new JobDecision.StartFailed(run.task().job(), run.task().toString(), run.attempt(), worker.id(),
				outcome.kind().name()));
		switch (outcome.kind()) {
			case FENCED -> this.listener.fenced(worker.id());
			case GONE -> looked(worker, new LookOutcome.Gone(), 0);
			case NO_ANSWER -> unanswered(step, run, worker, order, unanswered + 1);
			default -> refused(step, run, worker, outcome.kind(), unanswered);
		}
	}

	private void confirm(Run run) {
		if (run.state() == Run.State.STARTING) {
			run.confirm(this.clock.nanos());
			this.jobs.job(run.task().job()).ifPresent(SubmittedJob::markStarted);
		}
	}

	private void unanswered(ActiveStep step, Run run, PoolWorker worker, StartOrder order, int unanswered) {
		if (run.state() != Run.State.STARTING) {
			return;
		}
		if (unanswered >= MOST_STARTS || step.job().isEnded() || !this.term.canGrantLeases()) {
			stop(run, "its start stays unanswered");
			return;
		}
		this.control.schedule(() -> {
			boolean isWanted = run.state() == Run.State.STARTING
					&& worker.run(run.task()).filter((held) -> held == run).isPresent();
			if (isWanted && !this.closed) {
				send(step, run, worker, order, unanswered);
			}
		}, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void refused(ActiveStep step, Run run, PoolWorker worker, StartOutcome.Kind kind, int unanswered) {
		switch (kind) {
			case TICKET_REFUSED -> this.eligibility.ticketRefused(step.key(), worker.id());
			case OLD_ATTEMPT -> step.recordAttempt(run.task().index(), run.attempt() + 1);
			default -> worker.failures().avoid(this.clock.nanos(), REFUSED_PAUSE_MILLIS);
		}
		if (unanswered > 0 || run.state() != Run.State.STARTING) {
			// An earlier order may yet be carried out.
			stop(run, "a repeated start was refused");
			return;
		}
		this.ends.refused(worker, run);
		this.listener.changed();
	}

	/**
	 * Stop a run, or keep it from starting.
	 * @param run the run
	 * @param reason why
	 */
	void stop(Run run, String reason) {
		Optional<PoolWorker> worker = this.pool.worker(run.worker());
		if (worker.isEmpty() || run.state() == Run.State.STOPPING) {
			return;
		}
		run.stopping();
		this.log.write(new JobDecision.TaskStopped(run.task().job(), run.task().toString(), run.attempt(), run.worker(),
				reason));
		sendStop(run, worker.get());
	}

	private void sendStop(Run run, PoolWorker worker) {
		boolean isOver = worker.run(run.task()).filter((held) -> held == run).isEmpty();
		if (this.closed || isOver) {
			return;
		}
		this.orders.stop(worker.info(), run.task(), run.attempt(), this.term.epoch())
			.whenComplete(OnThread.of(this.control, (outcome, failure) -> {
				switch (outcome.kind()) {
					case DONE -> run.confirm(this.clock.nanos());
					case FENCED -> this.listener.fenced(worker.id());
					case GONE -> looked(worker, new LookOutcome.Gone(), 0);
					default ->
						this.control.schedule(() -> sendStop(run, worker), SILENT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
				}
			}));
	}

	/**
	 * Stop what runs of a job that has ended.
	 * @param job the job
	 */
	void ended(SubmittedJob job) {
		this.ends.ended(job);
	}

	/**
	 * Send nothing more to workers that have become silent.
	 */
	void doubtSilent() {
		for (PoolWorker worker : SilenceWatch.judge(this.pool.all(), this.clock.nanos())) {
			this.log.write(new PoolDecision.WorkerSilent(worker.id(),
					"orders there or in its failure domain are unanswered", worker.runCount()));
		}
	}

	/**
	 * Give up workers whose lease has lapsed, and forget those that are gone for good.
	 */
	void expire() {
		long now = this.clock.nanos();
		for (PoolWorker worker : List.copyOf(this.pool.all())) {
			worker.lapseHolds(now);
			boolean isOver = !worker.isReached() && (!worker.lease().isKnown() || worker.lease().surelyLapsed(now));
			if (!isOver) {
				continue;
			}
			if (worker.lease().isKnown() && !worker.isLost()) {
				lose(worker, "its lease has lapsed");
				this.listener.changed();
			}
			if (!worker.isListed()) {
				this.pool.remove(worker.id());
			}
		}
	}

	private void lose(PoolWorker worker, String reason) {
		if (worker.isLost()) {
			return;
		}
		this.log.write(new PoolDecision.WorkerLost(worker.id(), reason, worker.runCount()));
		for (Run run : worker.runs()) {
			this.ends.lost(worker, run, reason);
		}
		worker.markLost();
	}

}
