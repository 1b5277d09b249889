package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import org.monsoonrelay.model.submission.StepSpec;

/**
 * Notifies the observers of an owner when its runs start, are reported and end. Runs of
 * jobs that are not loaded are left out. Not thread-safe: confined to the control thread.
 */
final class RunObservers {

	private final JobRegistry jobs;

	private final PoolClock clock;

	private final List<RunObserver> observers = new ArrayList<>();

	RunObservers(JobRegistry jobs, PoolClock clock) {
		this.jobs = jobs;
		this.clock = clock;
	}

	void add(RunObserver observer) {
		this.observers.add(observer);
	}

	void started(Run run) {
		notifyObservers(run, (observer, observed) -> observer.runStarted(observed, this.clock.nanos()));
	}

	void reported(Run run, RunningTask report) {
		notifyObservers(run, (observer, observed) -> observer.runReported(observed, report, this.clock.nanos()));
	}

	void ended(Run run, TerminationReason reason, long ranMillis) {
		notifyObservers(run,
				(observer, observed) -> observer.runEnded(observed, reason, ranMillis, this.clock.nanos()));
	}

	void workerReset(PoolWorker worker) {
		this.observers.forEach((observer) -> observer.workerReset(worker.id()));
	}

	long reportWithinMillis(PoolWorker worker) {
		long millis = Long.MAX_VALUE;
		for (RunObserver observer : this.observers) {
			millis = Math.min(millis, observer.reportWithinMillis(worker.id()));
		}
		return millis;
	}

	private void notifyObservers(Run run, BiConsumer<RunObserver, ObservedRun> event) {
		if (this.observers.isEmpty()) {
			return;
		}
		this.jobs.job(run.task().job())
			.map((job) -> job.submission())
			.filter((submission) -> run.task().step() < submission.steps().size())
			.ifPresent((submission) -> {
				StepSpec step = submission.steps().get(run.task().step());
				ObservedRun observed = new ObservedRun(run.task(), run.attempt(), run.workerId(),
						submission.policy().queue(), step, run.isResumed(), run.isAdopted());
				this.observers.forEach((observer) -> event.accept(observer, observed));
			});
	}

}
