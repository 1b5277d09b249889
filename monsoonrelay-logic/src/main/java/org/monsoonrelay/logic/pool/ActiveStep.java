package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * A step whose tasks may run, with the runs that may be alive. Invariants: at most one
 * run of a task may be alive; a gang starts only when no run of an earlier attempt may be
 * alive; attempts of a task only rise. Not thread-safe: confined to the control thread.
 */
final class ActiveStep {

	private static final long NOT_SEARCHED = -1;

	private final StepKey key;

	private final StepSpec spec;

	private final SubmittedJob job;

	private final StepProgress progress;

	private boolean ready;

	private final Run[] runs;

	private final int[] attempts;

	private final String[] lastFailedWorkers;

	private final QueueEntry queueEntry;

	private final boolean dependedOn;

	private long lastSearchedChange = NOT_SEARCHED;

	private long lastFullSearchNanos;

	private boolean holdingCapacity;

	ActiveStep(StepKey key, SubmittedJob job, int attemptFloor) {
		this.key = key;
		this.job = job;
		this.spec = job.submission().steps().get(key.step());
		this.progress = job.progress(key);
		this.runs = new Run[this.spec.count()];
		this.attempts = new int[this.spec.count()];
		this.lastFailedWorkers = new String[this.spec.count()];
		Arrays.fill(this.attempts, Math.max(attemptFloor, progress().highestAttempt()));
		this.queueEntry = QueueEntry.of(this);
		this.dependedOn = job.submission().steps().stream().anyMatch((step) -> step.dependsOn().contains(key.step()));
	}

	/**
	 * Whether steps of the job wait for this one.
	 * @return {@code true} if so
	 */
	boolean hasDependents() {
		return this.dependedOn;
	}

	/**
	 * The step as the order of the queue sees it.
	 * @return the view
	 */
	QueueEntry queueEntry() {
		return this.queueEntry;
	}

	/**
	 * Note that no worker had room for a task of the step.
	 * @param changes number of the last change of a worker before the search
	 * @param allNanos when all workers were searched last
	 */
	void recordFailedSearch(long changes, long allNanos) {
		this.lastSearchedChange = changes;
		this.lastFullSearchNanos = allNanos;
	}

	/**
	 * Search all workers next time: it may have become known that others are eligible.
	 */
	void resetSearch() {
		this.lastSearchedChange = NOT_SEARCHED;
	}

	/**
	 * Number of the last change of a worker that the last search in vain knew.
	 * @return the number, negative if all workers have to be searched
	 */
	long lastSearchedChange() {
		return this.lastSearchedChange;
	}

	long lastFullSearchNanos() {
		return this.lastFullSearchNanos;
	}

	/**
	 * Whether workers may hold room for the step until its tickets are renewed.
	 * @return {@code true} if so
	 */
	boolean isHoldingCapacity() {
		return this.holdingCapacity;
	}

	void setHoldingCapacity(boolean isHolding) {
		this.holdingCapacity = isHolding;
	}

	StepProgress progress() {
		return this.progress;
	}

	/**
	 * Tasks that may be started now.
	 * @return their numbers; for a gang all or none
	 */
	List<Integer> waitingTasks() {
		if (this.job.isEnded() || progress().isComplete() || (this.spec.gang() && !isIdle()) || !isReady()) {
			return List.of();
		}
		List<Integer> waiting = new ArrayList<>();
		for (int i = 0; i < this.runs.length; i++) {
			if (this.runs[i] == null && !progress().isDone(i)) {
				waiting.add(i);
			}
		}
		return waiting;
	}

	// What is done stays done.
	private boolean isReady() {
		this.ready = this.ready || this.job.isReady(this.key);
		return this.ready;
	}

	boolean isIdle() {
		for (Run run : this.runs) {
			if (run != null) {
				return false;
			}
		}
		return true;
	}

	/**
	 * The attempt that a start of tasks has to carry; those of a gang share it.
	 * @param index the task
	 * @return the next attempt
	 */
	int nextAttempt(int index) {
		int highest = this.spec.gang() ? Arrays.stream(this.attempts).max().orElse(0) : this.attempts[index];
		return highest + 1;
	}

	boolean hasRun(int index) {
		return this.runs[index] != null;
	}

	void addRun(Run run) {
		int index = run.task().index();
		this.runs[index] = run;
		recordAttempt(index, run.attempt());
	}

	/**
	 * Note that an attempt was used, so that the next one is higher.
	 * @param index the task
	 * @param attempt the attempt
	 */
	void recordAttempt(int index, int attempt) {
		this.attempts[index] = Math.max(this.attempts[index], attempt);
	}

	/**
	 * Note that a run is over.
	 * @param run the run
	 */
	void removeRun(Run run) {
		int index = run.task().index();
		if (this.runs[index] == run) {
			this.runs[index] = null;
		}
	}

	void recordFailure(int index, String worker) {
		this.lastFailedWorkers[index] = worker;
	}

	/**
	 * The worker on which a task failed last.
	 * @param index the task
	 * @return the worker's id, empty if it has not failed
	 */
	String lastFailedWorker(int index) {
		return (this.lastFailedWorkers[index] != null) ? this.lastFailedWorkers[index] : "";
	}

	List<Run> activeRuns() {
		return Arrays.stream(this.runs).filter(Objects::nonNull).toList();
	}

	StepKey key() {
		return this.key;
	}

	StepSpec spec() {
		return this.spec;
	}

	SubmittedJob job() {
		return this.job;
	}

}
