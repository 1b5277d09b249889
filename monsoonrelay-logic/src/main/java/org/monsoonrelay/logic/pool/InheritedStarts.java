package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Starts of earlier owners whose runs may have been lost with their workers before any
 * record named them. Invariant: once such a loss is possible, starts of inherited jobs
 * are durable before they are sent, so that the next owner knows of them; starts of tasks
 * with crashes always are. A recorded start counts as lost once: the crash that is then
 * recorded ends it. Not thread-safe: confined to the control thread.
 */
final class InheritedStarts {

	private final JobRegistry jobs;

	private final DecisionLog log;

	private final Set<TaskKey> started = new HashSet<>();

	private final Set<TaskKey> knownLosses = new HashSet<>();

	private boolean unknownRunsLost;

	InheritedStarts(JobRegistry jobs, DecisionLog log) {
		this.jobs = jobs;
		this.log = log;
	}

	/**
	 * Records that a worker was lost on which an earlier owner may have started any task.
	 */
	void recordUnknownLoss() {
		this.unknownRunsLost = true;
	}

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
		StepProgress progress = step.progress();
		boolean mustRecordAll = mustRecordStarts(step.job());
		List<Integer> unrecorded = tasks.stream()
			.filter((index) -> mustRecordAll || progress.isStartRecorded(index))
			.filter((index) -> !progress.isStartRecordedSinceCrash(index))
			.toList();
		if (unrecorded.isEmpty()) {
			return true;
		}
		unrecorded.forEach((index) -> step.job().recordStart(step.key().task(index)));
		this.jobs.markDirty(step.job());
		return false;
	}

	/**
	 * Records the start of a task. Of inherited jobs, the first start of each task is
	 * logged with what is known of earlier ones.
	 * @param step the step
	 * @param task the task
	 * @param attempt the attempt number
	 */
	void recordStart(ActiveStep step, TaskKey task, int attempt) {
		if (!this.jobs.isInherited(task.job()) || !this.started.add(task)) {
			return;
		}
		StepProgress progress = step.progress();
		this.log.write(new JobDecision.InheritedTaskStarted(task.job(), task.toString(), attempt,
				this.jobs.restoredVersion(task.job()), progress.failures(task.index()), progress.highestAttempt(),
				progress.doneCount()));
	}

	/**
	 * Records the loss of a run that the owner record names.
	 * @param task the task
	 */
	void recordKnownLoss(TaskKey task) {
		this.knownLosses.add(task);
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
			.filter((task) -> job.progress(task.stepKey()).isStartRecordedSinceCrash(task.index()))
			.filter((task) -> !job.progress(task.stepKey()).isDone(task.index()))
			.filter((task) -> this.jobs.step(task.stepKey()).filter((step) -> step.hasRun(task.index())).isEmpty())
			.filter((task) -> !this.knownLosses.contains(task))
			.toList();
	}

}
