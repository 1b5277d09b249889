package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.Metric;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.CrashEvidence;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Updates jobs when their runs terminate. Invariants: only failures count as attempts,
 * and crashes of workers are counted apart; if a member of a gang terminates without
 * success, or is missing, all members of the gang are stopped; when a job ends, all its
 * runs are stopped; a termination is ignored only if its job has ended or is presumed not
 * to exist. Not thread-safe: confined to the control thread.
 */
final class RunTerminationHandler {

	private final OwnerLease ownerLease;

	private final JobRegistry jobs;

	private final UnknownJobs unknownJobs;

	private final CrashTracker crashes;

	private final InheritedStarts inheritedStarts;

	private final RunObservers observers;

	private final DecisionLog log;

	private final PoolClock clock;

	private final BiConsumer<Run, String> stopRun;

	RunTerminationHandler(OwnerLease ownerLease, JobRegistry jobs, UnknownJobs unknownJobs, CrashTracker crashes,
			InheritedStarts inheritedStarts, RunObservers observers, DecisionLog log, PoolClock clock,
			BiConsumer<Run, String> stopRun) {
		this.ownerLease = ownerLease;
		this.jobs = jobs;
		this.unknownJobs = unknownJobs;
		this.crashes = crashes;
		this.inheritedStarts = inheritedStarts;
		this.observers = observers;
		this.log = log;
		this.clock = clock;
		this.stopRun = stopRun;
	}

	/**
	 * Processes the terminations that a worker reports. A termination whose job may still
	 * be loaded is deferred. A termination is acknowledged only if all terminations with
	 * lower sequence numbers are processed as well.
	 * @param worker the worker
	 * @param reported the reported terminations by ascending sequence number
	 */
	void process(PoolWorker worker, List<TerminatedTask> reported) {
		List<TerminatedTask> deferred = new ArrayList<>();
		for (TerminatedTask termination : reported) {
			if (worker.terminations().hasProcessed(termination)) {
				continue;
			}
			if (this.unknownJobs.isAwaited(termination.task().job())) {
				deferred.add(termination);
				continue;
			}
			process(worker, termination);
			worker.terminations().markProcessed(termination, this.clock.nanos());
		}
		worker.terminations().defer(deferred);
	}

	/**
	 * Processes the terminations of former incarnations of a worker whose jobs have been
	 * loaded since.
	 * @param worker the worker
	 */
	void processInherited(PoolWorker worker) {
		worker.terminations()
			.takeInherited((job) -> !this.unknownJobs.isAwaited(job))
			.forEach((termination) -> process(worker, termination));
	}

	private void process(PoolWorker worker, TerminatedTask termination) {
		this.jobs.unresolvedStarts().resolve(termination.task(), termination.attempt());
		long ranMillis = -1;
		Run run = worker.run(termination.task())
			.filter((active) -> active.attempt() == termination.attempt())
			.orElse(null);
		if (run != null) {
			ranMillis = run.isAdopted() ? -1 : ageMillis(run);
			if (termination.reason() != TerminationReason.DONE) {
				recordWaste(run);
			}
			release(worker, run);
			this.observers.ended(run, termination.reason(), ranMillis);
		}
		this.log.write(new JobDecision.TaskEnded(termination.task().job(), termination.task().toString(),
				termination.attempt(), worker.id(), termination.sequence(), termination.reason().name(), ranMillis));
		SubmittedJob job = this.jobs.job(termination.task().job()).orElse(null);
		if (job == null || !hasTask(job, termination.task())) {
			return;
		}
		this.crashes.clearIfStable(job, termination.task(), ranMillis);
		recordProgress(worker, termination, job);
		updateJobState(job, termination.task().stepKey(), termination.reason() == TerminationReason.DONE);
	}

	private long ageMillis(Run run) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - run.requestedNanos());
	}

	// For an adopted run, only the time since its adoption is known.
	private void recordWaste(Run run) {
		this.log.recordMetric(Metric.WASTED_PROCESSOR_TIME, ageMillis(run) * run.size().processors());
	}

	private static boolean hasTask(SubmittedJob job, TaskKey task) {
		return task.step() < job.submission().steps().size()
				&& task.index() < job.submission().steps().get(task.step()).count()
				&& task.occurrence() < job.submission().timetable().occurrences();
	}

	private void recordProgress(PoolWorker worker, TerminatedTask termination, SubmittedJob job) {
		StepKey key = termination.task().stepKey();
		int index = termination.task().index();
		StepProgress progress = job.progress(key);
		progress.recordAttempt(termination.attempt());
		this.jobs.step(key).ifPresent((step) -> step.recordAttempt(index, termination.attempt()));
		switch (termination.reason()) {
			case DONE -> {
				progress.markDone(index);
				worker.failures().recordSuccess();
			}
			case FAILED -> {
				progress.saveCheckpoint(index, termination.checkpoint());
				if (progress.markFailed(index, termination.attempt())) {
					recordFailure(worker, termination.task(), isLongRunning(job, key));
				}
			}
			default -> progress.saveCheckpoint(index, termination.checkpoint());
		}
	}

	private static boolean isLongRunning(SubmittedJob job, StepKey key) {
		return job.submission().steps().get(key.step()).longRunning();
	}

	private void recordFailure(PoolWorker worker, TaskKey task, boolean isLongRunning) {
		this.jobs.step(task.stepKey()).ifPresent((step) -> step.recordFailure(task.index(), worker.id()));
		if (worker.failures().recordFailure(task.job(), isLongRunning, this.clock.nanos())) {
			this.log.write(new PoolDecision.WorkerAvoided(worker.id(), worker.failures().consecutiveFailures(),
					FailureStreak.AVOIDANCE_MILLIS));
		}
	}

	/**
	 * Handles a run that is no longer active although its worker reported no termination.
	 * @param worker the worker
	 * @param run the run
	 * @param loss how it is known that the run is over
	 * @param otherRuns number of other runs that may have been active on the worker
	 */
	void handleLostRun(PoolWorker worker, Run run, RunLoss loss, int otherRuns) {
		release(worker, run);
		recordWaste(run);
		this.observers.ended(run, TerminationReason.LAPSED, -1);
		TaskKey task = run.task();
		long ranMillis = worker.silence().millisUntil(run.requestedNanos(), this.clock.nanos());
		CrashEvidence evidence = this.crashes.assess(worker, run, loss);
		this.log.write(new JobDecision.TaskLost(task.job(), task.toString(), run.attempt(), worker.id(), loss.name(),
				loss.description(), evidence.name(), run.hasBeenConfirmed(), ranMillis, otherRuns));
		holdBack(task);
		logUnresolvedStart(run);
		this.jobs.job(task.job())
			.filter((job) -> hasTask(job, task))
			.ifPresent((job) -> job.progress(task.stepKey()).saveCheckpoint(task.index(), run.checkpoint()));
		if (recordCrash(task, ranMillis, evidence) && loss == RunLoss.LEASE_EXPIRED) {
			this.crashes.awaitAnswer(worker, task);
		}
	}

	private void logUnresolvedStart(Run run) {
		TaskKey task = run.task();
		if (this.jobs.isUnfinished(task)) {
			this.jobs.unresolvedStarts()
				.ageMillis(task, run.attempt(), this.clock.nanos())
				.ifPresent((age) -> this.log.write(new JobDecision.StartUnresolved(task.job(), task.toString(),
						run.attempt(), run.workerId(), age, UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS)));
		}
	}

	/**
	 * Keeps a task from being started again until its loss is confirmed.
	 * @param task the task
	 */
	void holdBack(TaskKey task) {
		this.jobs.unconfirmedLosses().record(task);
		if (this.ownerLease.isExpired() && this.jobs.isUnfinished(task)) {
			this.log
				.write(new JobDecision.TaskHeldBack(task.job(), task.toString(), this.ownerLease.renewalAgeMillis()));
		}
	}

	/**
	 * Handles a run that an earlier owner may have started on a worker that is lost.
	 * @param task the task
	 */
	void handleInheritedLoss(TaskKey task) {
		holdBack(task);
		this.inheritedStarts.recordKnownLoss(task);
		recordCrash(task, 0, CrashEvidence.POSSIBLE);
	}

	/**
	 * Handles the runs of a job that an earlier owner may have lost without knowing. To
	 * be called once the recovery is complete.
	 * @param job the job
	 */
	void handleUnknownLosses(SubmittedJob job) {
		this.inheritedStarts.findUnknownLosses(job).forEach(this::handleInheritedLoss);
	}

	/**
	 * Records the crashes under tasks of a job that were found before it was loaded.
	 * @param job the job's id
	 */
	void onJobLoaded(String job) {
		this.crashes.takeDeferred(job).forEach((crash) -> recordCrash(crash.task(), 0, crash.evidence()));
	}

	private boolean recordCrash(TaskKey task, long ranMillis, CrashEvidence evidence) {
		if (evidence != CrashEvidence.NONE && this.unknownJobs.isAwaited(task.job())) {
			this.crashes.defer(task, evidence);
		}
		return this.jobs.job(task.job()).filter((job) -> hasTask(job, task)).map((job) -> {
			boolean isCounted = this.crashes.record(job, task, ranMillis, evidence);
			updateJobState(job, task.stepKey(), false);
			return isCounted;
		}).orElse(false);
	}

	/**
	 * Handles a run whose start was refused, so that it never became active.
	 * @param worker the worker
	 * @param run the run
	 */
	void handleRefusedStart(PoolWorker worker, Run run) {
		release(worker, run);
		this.jobs.job(run.task().job()).ifPresent((job) -> updateJobState(job, run.task().stepKey(), false));
	}

	private void release(PoolWorker worker, Run run) {
		worker.release(run.task());
		this.jobs.step(run.task().stepKey()).ifPresent((step) -> step.removeRun(run));
	}

	private void updateJobState(SubmittedJob job, StepKey key, boolean isSuccess) {
		boolean wasEnded = job.isEnded();
		job.updateState(key);
		this.jobs.markDirty(job);
		if (job.isEnded() && !wasEnded) {
			handleJobEnd(job);
			return;
		}
		boolean isGangBroken = !isSuccess && job.submission().steps().get(key.step()).gang();
		if (isGangBroken || job.progress(key).isComplete()) {
			this.jobs.step(key).ifPresent((step) -> stopBrokenGang(step, isGangBroken));
		}
	}

	private void stopBrokenGang(ActiveStep step, boolean isGangBroken) {
		if (isGangBroken && !step.progress().isComplete()) {
			step.activeRuns().forEach((run) -> this.stopRun.accept(run, "another member of its gang has ended"));
		}
	}

	/**
	 * Stops what is left of gangs whose other members were lost under an earlier owner,
	 * so that no end of theirs is known.
	 * @param mayRunUnseen matches tasks that may run although no run is known
	 */
	void stopIncompleteGangs(Predicate<TaskKey> mayRunUnseen) {
		this.jobs.openSteps()
			.stream()
			.filter((step) -> step.isIncompleteGang(mayRunUnseen))
			.flatMap((step) -> step.activeRuns().stream())
			.toList()
			.forEach((run) -> this.stopRun.accept(run, "another member of its gang is missing"));
	}

	/**
	 * Stops the runs that this owner started of tasks that an earlier one knew as done.
	 * Members of a gang that the earlier one started end by themselves.
	 * @param job the job
	 */
	void stopDoneTasks(SubmittedJob job) {
		for (ActiveStep step : this.jobs.openStepsOf(job.id())) {
			step.activeRuns()
				.stream()
				.filter((run) -> step.progress().isDone(run.task().index()))
				.filter((run) -> !step.spec().gang() || !run.isAdopted())
				.forEach((run) -> this.stopRun.accept(run, "the task was done under an earlier owner"));
		}
	}

	/**
	 * Stops all runs of a job that has ended.
	 * @param job the job
	 */
	void handleJobEnd(SubmittedJob job) {
		long lateMillis = this.clock.millis() - job.submission().deadlineMillis(0);
		this.log.write(new JobDecision.JobEnded(job.id(), job.state().name(), ageMillis(job), lateMillis));
		for (ActiveStep step : this.jobs.openStepsOf(job.id())) {
			if (!step.progress().isComplete()) {
				step.activeRuns().forEach((run) -> this.stopRun.accept(run, "its job has ended"));
			}
		}
	}

	/**
	 * Returns the capacity that a task occupies.
	 * @param task the task
	 * @param worker the worker on which the task runs
	 * @return the size declared by the job, the whole capacity of the worker if unknown
	 */
	Resources committedSize(TaskKey task, PoolWorker worker) {
		return this.jobs.job(task.job())
			.filter((job) -> hasTask(job, task))
			.map((job) -> job.submission().steps().get(task.step()).committedSize())
			.orElse(worker.info().capacity());
	}

	long ageMillis(SubmittedJob job) {
		return this.clock.millis() - job.submission().acceptedMillis();
	}

}
