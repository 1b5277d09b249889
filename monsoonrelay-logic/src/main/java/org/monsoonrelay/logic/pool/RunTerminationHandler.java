package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.Measure;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * What the end of a run means for its job. Invariants: only ends by failure count as
 * attempts; when a member of a gang ends other than well, all its members are stopped;
 * when a job ends, all its runs are stopped; an end is passed over only if its job is
 * known to have ended or can be taken not to exist. Not thread-safe: confined to the
 * control thread.
 */
final class RunTerminationHandler {

	private final JobRegistry jobs;

	private final UnknownJobs unknownJobs;

	private final DecisionLog log;

	private final PoolClock clock;

	private final BiConsumer<Run, String> stopRun;

	RunTerminationHandler(JobRegistry jobs, UnknownJobs unknown, DecisionLog log, PoolClock clock,
			BiConsumer<Run, String> stop) {
		this.jobs = jobs;
		this.unknownJobs = unknown;
		this.log = log;
		this.clock = clock;
		this.stopRun = stop;
	}

	/**
	 * Take in the ends that a worker lists, but for those whose job is awaited. An end
	 * counts as processed, so that it can be acknowledged, only if all before it do.
	 * @param worker the worker
	 * @param listed the ends in the order of their numbers
	 */
	void process(PoolWorker worker, List<TerminatedTask> listed) {
		List<TerminatedTask> kept = new ArrayList<>();
		for (TerminatedTask end : listed) {
			if (worker.hasProcessed(end)) {
				continue;
			}
			if (this.unknownJobs.isAwaited(end.task().job())) {
				kept.add(end);
				continue;
			}
			process(worker, end);
			worker.markProcessed(end);
		}
		worker.deferTerminations(kept);
	}

	private void process(PoolWorker worker, TerminatedTask end) {
		long ranMillis = -1;
		Run run = worker.run(end.task()).filter((held) -> held.attempt() == end.attempt()).orElse(null);
		if (run != null) {
			ranMillis = run.isAdopted() ? -1 : ageMillis(run);
			if (end.reason() != TerminationReason.DONE) {
				recordWaste(run);
			}
			release(worker, run);
		}
		this.log.write(new JobDecision.TaskEnded(end.task().job(), end.task().toString(), end.attempt(), worker.id(),
				end.reason().name(), ranMillis));
		SubmittedJob job = this.jobs.job(end.task().job()).orElse(null);
		if (job == null || !hasTask(job, end.task())) {
			return;
		}
		recordProgress(worker, end, job);
		updateJobState(job, end.task().stepKey(), end.reason() == TerminationReason.DONE);
	}

	private long ageMillis(Run run) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - run.requestedNanos());
	}

	// Of a run that another owner started only what it took since is known.
	private void recordWaste(Run run) {
		this.log.measured(Measure.WASTE, ageMillis(run) * run.size().processors());
	}

	private static boolean hasTask(SubmittedJob job, TaskKey task) {
		return task.step() < job.submission().steps().size()
				&& task.index() < job.submission().steps().get(task.step()).count()
				&& task.occurrence() < job.submission().timetable().occurrences();
	}

	private void recordProgress(PoolWorker worker, TerminatedTask end, SubmittedJob job) {
		StepKey key = end.task().stepKey();
		int index = end.task().index();
		StepProgress progress = job.progress(key);
		progress.noteAttempt(end.attempt());
		this.jobs.step(key).ifPresent((step) -> step.recordAttempt(index, end.attempt()));
		switch (end.reason()) {
			case DONE -> {
				progress.markDone(index);
				worker.failures().recordSuccess();
			}
			case FAILED -> {
				progress.saveCheckpoint(index, end.checkpoint());
				if (progress.markFailed(index, end.attempt())) {
					recordFailure(worker, end.task());
				}
			}
			default -> progress.saveCheckpoint(index, end.checkpoint());
		}
	}

	private void recordFailure(PoolWorker worker, TaskKey task) {
		this.jobs.step(task.stepKey()).ifPresent((step) -> step.recordFailure(task.index(), worker.id()));
		if (worker.failures().recordFailure(task.job(), this.clock.nanos())) {
			this.log.write(new PoolDecision.WorkerAvoided(worker.id(), worker.failures().consecutiveFailures(),
					FailureStreak.AVOIDANCE_MILLIS));
		}
	}

	/**
	 * Take in that a run is over without the worker's word on how it ended.
	 * @param worker the worker
	 * @param run the run
	 * @param reason how that is known
	 */
	void handleLostRun(PoolWorker worker, Run run, String reason) {
		release(worker, run);
		recordWaste(run);
		TaskKey task = run.task();
		this.log.write(new JobDecision.TaskLost(task.job(), task.toString(), run.attempt(), worker.id(), reason));
		this.jobs.job(task.job()).filter((job) -> hasTask(job, task)).ifPresent((job) -> {
			job.progress(task.stepKey()).saveCheckpoint(task.index(), run.checkpoint());
			updateJobState(job, task.stepKey(), false);
		});
	}

	/**
	 * Take in that a start was refused and nothing runs.
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

	private void updateJobState(SubmittedJob job, StepKey key, boolean isDone) {
		boolean wasEnded = job.isEnded();
		job.settle(key);
		this.jobs.markDirty(job);
		if (job.isEnded() && !wasEnded) {
			handleJobEnd(job);
			return;
		}
		boolean isBroken = !isDone && job.submission().steps().get(key.step()).gang();
		if (isBroken || job.progress(key).isComplete()) {
			this.jobs.step(key).ifPresent((step) -> stopBrokenGang(step, isBroken));
		}
	}

	private void stopBrokenGang(ActiveStep step, boolean isBroken) {
		if (isBroken && !step.progress().isComplete()) {
			step.activeRuns().forEach((run) -> this.stopRun.accept(run, "another member of its gang has ended"));
		}
	}

	/**
	 * Stop what runs of a job that has ended.
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
	 * Room that a task holds.
	 * @param task the task
	 * @param worker the worker on which it runs
	 * @return what its job declares, all of the worker if that is not known
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
