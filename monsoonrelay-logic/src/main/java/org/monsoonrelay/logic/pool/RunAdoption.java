package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Compares the runs that a worker tells of with those that the owner knows, and takes
 * over those that an earlier owner started. Invariants: a run that is neither listed as
 * running nor among the ends is over; a run whose job is not known yet holds all of the
 * worker's room and is neither stopped nor given up until the job is known or can be
 * taken not to exist. Not thread-safe: confined to the control thread.
 */
final class RunAdoption {

	private static final int FULL_SPEED_PERCENT = 100;

	private final JobRegistry jobs;

	private final RunTerminationHandler terminations;

	private final UnknownJobs unknownJobs;

	private final PoolClock clock;

	private final Consumer<Run> confirmRun;

	private final BiConsumer<Run, String> stopRun;

	RunAdoption(JobRegistry jobs, RunTerminationHandler ends, UnknownJobs unknown, PoolClock clock,
			Consumer<Run> confirm, BiConsumer<Run, String> stop) {
		this.jobs = jobs;
		this.terminations = ends;
		this.unknownJobs = unknown;
		this.clock = clock;
		this.confirmRun = confirm;
		this.stopRun = stop;
	}

	/**
	 * Take in which runs a worker lists.
	 * @param worker the worker
	 * @param running the runs that go on
	 * @param sentNanos when the worker was asked
	 */
	void reconcile(PoolWorker worker, List<RunningTask> running, long sentNanos) {
		Set<TaskKey> listed = new HashSet<>();
		worker.deferredTerminations().forEach((end) -> listed.add(end.task()));
		for (RunningTask seen : running) {
			listed.add(seen.task());
			Optional<Run> known = worker.run(seen.task());
			if (known.isEmpty()) {
				adopt(worker, seen);
			}
			else if (known.get().attempt() == seen.attempt()) {
				known.get().updateCheckpoint(seen.checkpoint());
				reconcileKnownRun(known.get());
			}
		}
		for (Run run : worker.runs()) {
			if (!listed.contains(run.task()) && run.mustAppearInPoll(sentNanos)) {
				this.terminations.handleLostRun(worker, run, "neither running nor ended on its worker");
			}
		}
	}

	private void reconcileKnownRun(Run run) {
		this.confirmRun.accept(run);
		boolean isForeign = run.state() == Run.State.RUNNING && !this.jobs.isKnown(run.task().job());
		if (isForeign && !this.unknownJobs.isAwaited(run.task().job())) {
			this.stopRun.accept(run, "its job is not known");
		}
	}

	private void adopt(PoolWorker worker, RunningTask seen) {
		long now = this.clock.nanos();
		int index = seen.task().index();
		Optional<ActiveStep> step = findOpenStep(seen.task());
		if (step.isEmpty()) {
			Run foreign = Run.adopted(seen, worker.id(), this.terminations.committedSize(seen.task(), worker), now);
			worker.add(foreign);
			if (!this.unknownJobs.isAwaited(seen.task().job())) {
				this.stopRun.accept(foreign, "its job has ended or is not known");
			}
			return;
		}
		Run run = Run.adopted(seen, worker.id(), step.get().spec().committedSize(), now);
		run.updateCheckpoint(seen.checkpoint());
		run.setEstimateMillis(step.get().spec().estimateMillis());
		worker.add(run);
		if (step.get().progress().isDone(index) || step.get().hasRun(index)) {
			this.stopRun.accept(run, "the task is done or runs elsewhere");
			return;
		}
		step.get().addRun(run);
		step.get().job().markStarted();
	}

	private Optional<ActiveStep> findOpenStep(TaskKey task) {
		return this.jobs.openRunningStep(task.stepKey()).filter((open) -> task.index() < open.spec().count());
	}

	/**
	 * Take in what workers have told of a job before it was known.
	 * @param job the job's id
	 * @param workers all workers
	 */
	void onJobLoaded(String job, Collection<PoolWorker> workers) {
		if (!this.unknownJobs.markKnown(job)) {
			return;
		}
		for (PoolWorker worker : workers) {
			this.terminations.process(worker, worker.deferredTerminations());
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
