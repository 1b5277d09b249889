package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.submission.CrashEvidence;
import org.monsoonrelay.model.submission.CrashSuspicion;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskCrashes;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Decides which lost runs count as crashes of their workers, and records them in the
 * progress of the jobs. Invariants: a possible crash is taken back only when the same
 * incarnation of the worker answers again; a crash under a task whose job is not loaded
 * yet is recorded when it is. Not thread-safe: confined to the control thread.
 */
final class CrashTracker {

	/**
	 * A long-running task that was active for this time is not suspected, milliseconds:
	 * over months, each of them meets several crashes.
	 */
	private static final long STABLE_RUN_MILLIS = 10_000;

	private static final int MAX_UNRESOLVED_WORKERS = 1000;

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final DecisionLog log;

	private final PoolClock clock;

	private final OutageDetector outages = new OutageDetector();

	// Possible crashes by the id of a worker that may answer again.
	private final Map<String, UnresolvedCrashes> unresolved = new LinkedHashMap<>();

	private final Map<String, List<DeferredCrash>> deferred = new HashMap<>();

	CrashTracker(JobRegistry jobs, WorkerPool pool, DecisionLog log, PoolClock clock) {
		this.jobs = jobs;
		this.pool = pool;
		this.log = log;
		this.clock = clock;
	}

	/**
	 * Records that a worker does not answer any more.
	 * @param worker the worker
	 */
	void workerUnreachable(PoolWorker worker) {
		boolean hasCrashingTask = worker.runs().stream().anyMatch((run) -> hasCertainlyCrashedWorkers(run.task()));
		this.outages.workerUnreachable(worker, hasCrashingTask, this.clock.nanos());
	}

	private boolean hasCertainlyCrashedWorkers(TaskKey task) {
		return this.jobs.job(task.job())
			.filter((job) -> task.step() < job.submission().steps().size())
			.map((job) -> job.progress(task.stepKey()).crashes(task.index()).confirmed() > 0)
			.orElse(false);
	}

	boolean isPartOfOutage(PoolWorker worker) {
		return this.outages.isPartOfOutage(worker, this.pool.workers(), this.clock.nanos());
	}

	/**
	 * Assesses a lost run.
	 * @param worker the worker
	 * @param run the run
	 * @param loss how it is known that the run is over
	 * @return how certain it is that the worker crashed while the task was active on it
	 */
	CrashEvidence assess(PoolWorker worker, Run run, RunLoss loss) {
		if (loss == RunLoss.NOT_REPORTED || worker.isLeaving()) {
			return CrashEvidence.NONE;
		}
		boolean isCertain = loss == RunLoss.WORKER_REPLACED && run.hasBeenConfirmed() && !isPartOfOutage(worker);
		return isCertain ? CrashEvidence.CONFIRMED : CrashEvidence.POSSIBLE;
	}

	/**
	 * Records the loss of a run in the progress of its job.
	 * @param job the job
	 * @param task the task
	 * @param ranMillis for how long the run was active
	 * @param evidence the assessment of the loss
	 * @return {@code true} if the loss counts against the task
	 */
	boolean record(SubmittedJob job, TaskKey task, long ranMillis, CrashEvidence evidence) {
		StepProgress progress = job.progress(task.stepKey());
		if (job.isEnded() || progress.isDone(task.index()) || clearIfStable(job, task, ranMillis)
				|| evidence == CrashEvidence.NONE) {
			return false;
		}
		job.recordCrash(task, evidence);
		TaskCrashes crashes = progress.crashes(task.index());
		if (crashes.suspicion() == CrashSuspicion.GIVEN_UP) {
			this.log
				.write(new JobDecision.TaskGivenUp(job.id(), task.toString(), crashes.confirmed(), crashes.possible()));
		}
		return true;
	}

	/**
	 * Clears the crashes of a long-running task if it was active for long enough.
	 * @param job the job
	 * @param task the task
	 * @param ranMillis for how long the run was active
	 * @return {@code true} if so
	 */
	boolean clearIfStable(SubmittedJob job, TaskKey task, long ranMillis) {
		boolean isStable = ranMillis >= STABLE_RUN_MILLIS && job.submission().steps().get(task.step()).longRunning();
		if (isStable) {
			job.progress(task.stepKey()).clearCrashes(task.index());
		}
		return isStable;
	}

	/**
	 * Keeps a crash under a task whose job is not loaded yet.
	 * @param task the task
	 * @param evidence the assessment of the loss
	 */
	void defer(TaskKey task, CrashEvidence evidence) {
		this.deferred.computeIfAbsent(task.job(), (job) -> new ArrayList<>()).add(new DeferredCrash(task, evidence));
	}

	/**
	 * Removes the crashes that were kept for a job.
	 * @param job the job's id
	 * @return the crashes
	 */
	List<DeferredCrash> takeDeferred(String job) {
		return Optional.ofNullable(this.deferred.remove(job)).orElse(List.of());
	}

	/**
	 * Records that a possible crash is to be taken back if the worker answers.
	 * @param worker the worker
	 * @param task the task that was active there
	 */
	void awaitAnswer(PoolWorker worker, TaskKey task) {
		String id = worker.id();
		if (this.unresolved.size() >= MAX_UNRESOLVED_WORKERS && !this.unresolved.containsKey(id)) {
			this.unresolved.remove(this.unresolved.keySet().iterator().next());
		}
		this.unresolved
			.computeIfAbsent(id,
					(key) -> new UnresolvedCrashes(worker.incarnation().startedMillis(), new ArrayList<>()))
			.tasks()
			.add(task);
	}

	/**
	 * Takes back the possible crashes of a worker that answers, unless another
	 * incarnation does.
	 * @param worker the worker
	 */
	void workerAnswered(PoolWorker worker) {
		if (this.unresolved.isEmpty()) {
			return;
		}
		List<TaskKey> tasks = Optional.ofNullable(this.unresolved.remove(worker.id()))
			.filter((crashes) -> crashes.startedMillis().equals(worker.incarnation().startedMillis()))
			.map(UnresolvedCrashes::tasks)
			.orElse(List.of());
		for (TaskKey task : tasks) {
			this.jobs.job(task.job()).filter((job) -> !job.isEnded()).ifPresent((job) -> {
				job.progress(task.stepKey()).retractPossibleCrash(task.index());
				this.jobs.markDirty(job);
			});
		}
	}

	/**
	 * Records that a worker will not answer any more.
	 * @param worker the worker's id
	 */
	void workerReplaced(String worker) {
		this.unresolved.remove(worker);
	}

	private record UnresolvedCrashes(OptionalLong startedMillis, List<TaskKey> tasks) {

	}

	/**
	 * A crash under a task whose job is not loaded yet. Immutable.
	 *
	 * @param task the task
	 * @param evidence the assessment of the loss
	 */
	record DeferredCrash(TaskKey task, CrashEvidence evidence) {

	}

}
