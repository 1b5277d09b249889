package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
 * progress of the jobs. Invariants: a possible crash is taken back when the same
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
	private final Map<String, List<TaskKey>> unresolved = new LinkedHashMap<>();

	private final Map<String, List<DeferredCrash>> deferred = new HashMap<>();

	private final Set<TaskKey> inheritedLosses = new HashSet<>();

	private boolean unknownRunsLost;

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
		this.outages.workerUnreachable(worker, this.clock.nanos());
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
		if (loss == RunLoss.NOT_REPORTED || worker.info().draining()) {
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
	 */
	void record(SubmittedJob job, TaskKey task, long ranMillis, CrashEvidence evidence) {
		StepProgress progress = job.progress(task.stepKey());
		if (job.isEnded() || progress.isDone(task.index()) || clearIfStable(job, task, ranMillis)) {
			return;
		}
		job.recordCrash(task, evidence);
		TaskCrashes crashes = progress.crashes(task.index());
		if (evidence != CrashEvidence.NONE && crashes.suspicion() == CrashSuspicion.GIVEN_UP) {
			this.log
				.write(new JobDecision.TaskGivenUp(job.id(), task.toString(), crashes.confirmed(), crashes.possible()));
		}
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
	 * Records that a worker was lost on which an earlier owner may have started any task.
	 */
	void unknownRunsLost() {
		this.unknownRunsLost = true;
	}

	/**
	 * Returns whether starts of a job have to be recorded before they are sent: the
	 * earlier owner may have lost a run of the job without knowing, and so may this one.
	 * @param job the job
	 * @return {@code true} if so
	 */
	private boolean mustRecordStarts(SubmittedJob job) {
		return this.unknownRunsLost && this.jobs.isInherited(job.id());
	}

	/**
	 * Returns whether tasks may be started at once. If the next owner has to know of the
	 * starts, they are recorded first.
	 * @param step the step
	 * @param tasks indexes of the tasks
	 * @return {@code true} if no start had to be recorded
	 */
	boolean prepareStart(ActiveStep step, List<Integer> tasks) {
		List<Integer> unrecorded = mustRecordStarts(step.job())
				? tasks.stream().filter((index) -> !step.progress().isStartRecorded(index)).toList() : List.of();
		if (unrecorded.isEmpty()) {
			return true;
		}
		unrecorded.forEach((index) -> step.job().recordStart(step.key().task(index)));
		this.jobs.markDirty(step.job());
		return false;
	}

	void recordInheritedLoss(TaskKey task) {
		this.inheritedLosses.add(task);
	}

	/**
	 * Returns the tasks of a job that an earlier owner may have started and that may have
	 * been lost with their worker, as neither a run nor an end is known. To be called
	 * once the recovery is complete.
	 * @param job the job
	 * @return the tasks, without those of which the loss is known
	 */
	List<TaskKey> findUnknownLosses(SubmittedJob job) {
		if (!mustRecordStarts(job) || job.isEnded()) {
			return List.of();
		}
		return job.tasksWithRecordedStart()
			.stream()
			.filter((task) -> !job.progress(task.stepKey()).isDone(task.index()))
			.filter((task) -> this.jobs.step(task.stepKey()).filter((step) -> step.hasRun(task.index())).isEmpty())
			.filter((task) -> !this.inheritedLosses.contains(task))
			.toList();
	}

	/**
	 * Records that a possible crash is to be taken back if the worker answers.
	 * @param worker the worker's id
	 * @param task the task that was active there
	 */
	void awaitAnswer(String worker, TaskKey task) {
		if (this.unresolved.size() >= MAX_UNRESOLVED_WORKERS && !this.unresolved.containsKey(worker)) {
			this.unresolved.remove(this.unresolved.keySet().iterator().next());
		}
		this.unresolved.computeIfAbsent(worker, (id) -> new ArrayList<>()).add(task);
	}

	/**
	 * Takes back the possible crashes of a worker that answers.
	 * @param worker the worker's id
	 */
	void workerAnswered(String worker) {
		if (this.unresolved.isEmpty()) {
			return;
		}
		for (TaskKey task : Optional.ofNullable(this.unresolved.remove(worker)).orElse(List.of())) {
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

	/**
	 * A crash under a task whose job is not loaded yet. Immutable.
	 *
	 * @param task the task
	 * @param evidence the assessment of the loss
	 */
	record DeferredCrash(TaskKey task, CrashEvidence evidence) {

	}

}
