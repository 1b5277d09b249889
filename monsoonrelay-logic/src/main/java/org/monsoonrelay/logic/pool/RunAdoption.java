package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Reconciles the runs that a worker reports with the runs known to the owner, and adopts
 * those that an earlier owner started. Invariants: a run that complete reports list
 * neither as active nor as terminated for as long as a worker may take to list an end is
 * lost; a run whose job is not loaded yet occupies the whole capacity of the worker and
 * is neither stopped nor dropped until the job is loaded or is presumed not to exist. Not
 * thread-safe: confined to the control thread.
 */
final class RunAdoption {

	private static final int FULL_SPEED_PERCENT = 100;

	private final JobRegistry jobs;

	private final RunTerminationHandler terminations;

	private final UnknownJobs unknownJobs;

	private final RunObservers observers;

	private final PoolClock clock;

	private final DecisionLog log;

	private final Consumer<Run> confirmRun;

	private final BiConsumer<Run, String> stopRun;

	RunAdoption(JobRegistry jobs, RunTerminationHandler terminations, UnknownJobs unknownJobs, RunObservers observers,
			PoolClock clock, DecisionLog log, Consumer<Run> confirmRun, BiConsumer<Run, String> stopRun) {
		this.jobs = jobs;
		this.terminations = terminations;
		this.unknownJobs = unknownJobs;
		this.observers = observers;
		this.clock = clock;
		this.log = log;
		this.confirmRun = confirmRun;
		this.stopRun = stopRun;
	}

	/**
	 * Reconciles the known runs of a worker with the active runs that it reports.
	 * @param worker the worker
	 * @param report the report
	 * @param sentNanos monotonic time at which the poll was sent
	 */
	void reconcile(PoolWorker worker, PollOutcome.Report report, long sentNanos) {
		Set<TaskKey> reportedTasks = new HashSet<>();
		reportedTasks.addAll(worker.terminations().unprocessedTasks());
		for (RunningTask reported : report.runningTasks()) {
			reportedTasks.add(reported.task());
			this.jobs.unresolvedStarts().resolve(reported.task(), reported.attempt());
			Optional<Run> known = worker.run(reported.task());
			if (known.isEmpty()) {
				adopt(worker, reported);
			}
			else if (known.get().attempt() == reported.attempt()) {
				known.get().updateCheckpoint(reported.checkpoint());
				reconcileKnownRun(known.get());
				this.observers.reported(known.get(), reported);
			}
		}
		if (report.complete()) {
			loseUnreportedRuns(worker, reportedTasks, sentNanos);
		}
	}

	private void loseUnreportedRuns(PoolWorker worker, Set<TaskKey> reportedTasks, long sentNanos) {
		long now = this.clock.nanos();
		for (Run run : worker.runs()) {
			if (!reportedTasks.contains(run.task()) && run.mustAppearInPoll(sentNanos)) {
				if (run.markMissed(sentNanos, now) && !worker.terminations().hasGap()) {
					this.terminations.handleLostRun(worker, run, RunLoss.NOT_REPORTED, worker.runCount() - 1);
				}
				else {
					worker.incarnation().expectReport(run.lostFromNanos());
				}
			}
		}
	}

	private void reconcileKnownRun(Run run) {
		this.confirmRun.accept(run);
		boolean isJobUnknown = run.state() == Run.State.RUNNING && !this.jobs.isKnown(run.task().job());
		if (isJobUnknown && !this.unknownJobs.isAwaited(run.task().job())) {
			this.stopRun.accept(run, "its job is not known");
		}
	}

	private void adopt(PoolWorker worker, RunningTask reported) {
		long now = this.clock.nanos();
		int index = reported.task().index();
		Optional<ActiveStep> step = findOpenStep(reported.task());
		if (step.isEmpty()) {
			Run unassigned = Run.adopted(reported, worker.id(),
					this.terminations.committedSize(reported.task(), worker), now);
			worker.add(unassigned);
			if (!this.unknownJobs.isAwaited(reported.task().job())) {
				logUnexpectedRun(worker, reported, "JOB_ENDED_OR_UNKNOWN", false);
				this.stopRun.accept(unassigned, "its job has ended or is not known");
			}
			return;
		}
		Run run = Run.adopted(reported, worker.id(), step.get().spec().committedSize(), now);
		run.updateCheckpoint(reported.checkpoint());
		run.setEstimateMillis(step.get().spec().estimateMillis());
		run.setSuspicion(step.get().suspicion(index));
		worker.add(run);
		boolean isDone = step.get().progress().isDone(index);
		if (isDone || step.get().hasRun(index)) {
			logUnexpectedRun(worker, reported, isDone ? "DONE" : "RUNS_ELSEWHERE", false);
			this.stopRun.accept(run, "the task is done or runs elsewhere");
			return;
		}
		if (!this.jobs.isInherited(reported.task().job())) {
			logUnexpectedRun(worker, reported, "WAITING", true);
		}
		step.get().addRun(run);
		this.observers.started(run);
		this.jobs.markStarted(step.get().job());
	}

	private void logUnexpectedRun(PoolWorker worker, RunningTask reported, String taskStatus, boolean isAdopted) {
		TaskKey task = reported.task();
		this.log.write(new JobDecision.UnexpectedRun(task.job(), task.toString(), reported.attempt(), worker.id(),
				worker.incarnation().startedMillis().orElse(-1), taskStatus, isAdopted));
	}

	private Optional<ActiveStep> findOpenStep(TaskKey task) {
		return this.jobs.openRunningStep(task.stepKey()).filter((open) -> task.index() < open.spec().count());
	}

	/**
	 * Processes the terminations and runs that workers reported for a job before it was
	 * loaded.
	 * @param job the job's id
	 * @param workers all workers
	 */
	void onJobLoaded(String job, Collection<PoolWorker> workers) {
		if (!this.unknownJobs.markKnown(job)) {
			return;
		}
		for (PoolWorker worker : workers) {
			this.terminations.processInherited(worker);
			this.terminations.process(worker, worker.terminations().deferred());
			worker.runs()
				.stream()
				.filter((run) -> run.task().job().equals(job))
				.forEach((run) -> reattach(worker, run));
		}
	}

	private void reattach(PoolWorker worker, Run run) {
		if (run.state() == Run.State.STOPPING) {
			findOpenStep(run.task()).filter((step) -> !step.hasRun(run.task().index()))
				.ifPresent((step) -> step.addRun(run));
			return;
		}
		worker.release(run.task());
		adopt(worker, new RunningTask(run.task(), run.attempt(), run.checkpoint(), FULL_SPEED_PERCENT, 0));
	}

}
