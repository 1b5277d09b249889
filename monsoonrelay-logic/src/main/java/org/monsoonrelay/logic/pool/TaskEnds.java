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
final class TaskEnds {

	private final JobRegistry jobs;

	private final UnknownJobs unknown;

	private final DecisionLog log;

	private final PoolClock clock;

	private final BiConsumer<Run, String> stop;

	TaskEnds(JobRegistry jobs, UnknownJobs unknown, DecisionLog log, PoolClock clock, BiConsumer<Run, String> stop) {
		this.jobs = jobs;
		this.unknown = unknown;
		this.log = log;
		this.clock = clock;
		this.stop = stop;
	}

	/**
	 * Take in the ends that a worker lists, but for those whose job is awaited. An end
	 * counts as processed, so that it can be acknowledged, only if all before it do.
	 * @param worker the worker
	 * @param listed the ends in the order of their numbers
	 */
	void take(PoolWorker worker, List<EndedTask> listed) {
		List<EndedTask> kept = new ArrayList<>();
		for (EndedTask end : listed) {
			if (worker.hasTaken(end)) {
				continue;
			}
			if (this.unknown.isAwaited(end.task().job())) {
				kept.add(end);
				continue;
			}
			take(worker, end);
			worker.taken(end);
		}
		worker.keep(kept);
	}

	private void take(PoolWorker worker, EndedTask end) {
		long ranMillis = -1;
		Run run = worker.run(end.task()).filter((held) -> held.attempt() == end.attempt()).orElse(null);
		if (run != null) {
			ranMillis = run.isAdopted() ? -1 : ageMillis(run);
			if (end.kind() != EndKind.DONE) {
				wasted(run);
			}
			clear(worker, run);
		}
		this.log.write(new JobDecision.TaskEnded(end.task().job(), end.task().toString(), end.attempt(), worker.id(),
				end.kind().name(), ranMillis));
		SubmittedJob job = this.jobs.job(end.task().job()).orElse(null);
		if (job == null || !hasTask(job, end.task())) {
			return;
		}
		note(worker, end, job);
		settle(job, end.task().stepKey(), end.kind() == EndKind.DONE);
	}

	private long ageMillis(Run run) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - run.orderedNanos());
	}

	// Of a run that another owner started only what it took since is known.
	private void wasted(Run run) {
		this.log.measured(Measure.WASTE, ageMillis(run) * run.size().processors());
	}

	private static boolean hasTask(SubmittedJob job, TaskKey task) {
		return task.step() < job.submission().steps().size()
				&& task.index() < job.submission().steps().get(task.step()).count()
				&& task.occurrence() < job.submission().timetable().occurrences();
	}

	private void note(PoolWorker worker, EndedTask end, SubmittedJob job) {
		StepKey key = end.task().stepKey();
		int index = end.task().index();
		StepProgress progress = job.progress(key);
		progress.noteAttempt(end.attempt());
		this.jobs.step(key).ifPresent((step) -> step.recordAttempt(index, end.attempt()));
		switch (end.kind()) {
			case DONE -> {
				progress.markDone(index);
				worker.failures().succeeded();
			}
			case FAILED -> {
				progress.saveCheckpoint(index, end.checkpoint());
				if (progress.markFailed(index, end.attempt())) {
					failed(worker, end.task());
				}
			}
			default -> progress.saveCheckpoint(index, end.checkpoint());
		}
	}

	private void failed(PoolWorker worker, TaskKey task) {
		this.jobs.step(task.stepKey()).ifPresent((step) -> step.recordFailure(task.index(), worker.id()));
		if (worker.failures().failed(task.job(), this.clock.nanos())) {
			this.log.write(new PoolDecision.WorkerAvoided(worker.id(), worker.failures().failuresInRow(),
					FailureStreak.AVOID_MILLIS));
		}
	}

	/**
	 * Take in that a run is over without the worker's word on how it ended.
	 * @param worker the worker
	 * @param run the run
	 * @param reason how that is known
	 */
	void lost(PoolWorker worker, Run run, String reason) {
		clear(worker, run);
		wasted(run);
		TaskKey task = run.task();
		this.log.write(new JobDecision.TaskLost(task.job(), task.toString(), run.attempt(), worker.id(), reason));
		this.jobs.job(task.job()).filter((job) -> hasTask(job, task)).ifPresent((job) -> {
			job.progress(task.stepKey()).saveCheckpoint(task.index(), run.checkpoint());
			settle(job, task.stepKey(), false);
		});
	}

	/**
	 * Take in that a start was refused and nothing runs.
	 * @param worker the worker
	 * @param run the run
	 */
	void refused(PoolWorker worker, Run run) {
		clear(worker, run);
		this.jobs.job(run.task().job()).ifPresent((job) -> settle(job, run.task().stepKey(), false));
	}

	private void clear(PoolWorker worker, Run run) {
		worker.release(run.task());
		this.jobs.step(run.task().stepKey()).ifPresent((step) -> step.removeRun(run));
	}

	private void settle(SubmittedJob job, StepKey key, boolean isDone) {
		boolean wasEnded = job.isEnded();
		job.settle(key);
		this.jobs.markDirty(job);
		if (job.isEnded() && !wasEnded) {
			ended(job);
			return;
		}
		boolean isBroken = !isDone && job.submission().steps().get(key.step()).gang();
		if (isBroken || job.progress(key).isComplete()) {
			this.jobs.step(key).ifPresent((step) -> stopAll(step, isBroken));
		}
	}

	private void stopAll(ActiveStep step, boolean isBroken) {
		if (isBroken && !step.progress().isComplete()) {
			step.activeRuns().forEach((run) -> this.stop.accept(run, "another member of its gang has ended"));
		}
	}

	/**
	 * Stop what runs of a job that has ended.
	 * @param job the job
	 */
	void ended(SubmittedJob job) {
		long lateMillis = this.clock.millis() - job.submission().deadlineMillis(0);
		this.log.write(new JobDecision.JobEnded(job.id(), job.state().name(), ageMillis(job), lateMillis));
		for (ActiveStep step : this.jobs.openStepsOf(job.id())) {
			if (!step.progress().isComplete()) {
				step.activeRuns().forEach((run) -> this.stop.accept(run, "its job has ended"));
			}
		}
	}

	/**
	 * Room that a task holds.
	 * @param task the task
	 * @param worker the worker on which it runs
	 * @return what its job declares, all of the worker if that is not known
	 */
	Resources sizeOf(TaskKey task, PoolWorker worker) {
		return this.jobs.job(task.job())
			.filter((job) -> hasTask(job, task))
			.map((job) -> job.submission().steps().get(task.step()).committedSize())
			.orElse(worker.info().capacity());
	}

	long ageMillis(SubmittedJob job) {
		return this.clock.millis() - job.submission().acceptedMillis();
	}

}
