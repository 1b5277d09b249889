package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.monsoonrelay.model.submission.CrashSuspicion;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepProgress;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.SubmittedJob;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A step with tasks that can be scheduled, together with its runs that may still be
 * active. Invariants: each task has at most one run that may be active; a gang starts
 * only when no run of an earlier attempt may be active; attempt numbers of a task only
 * increase. Not thread-safe: confined to the control thread.
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

	private final StepWait wait = new StepWait();

	private long lastSearchedChange = NOT_SEARCHED;

	private long fullSearchNanos;

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
	 * Whether other steps of the job depend on this one.
	 * @return {@code true} if so
	 */
	boolean hasDependents() {
		return this.dependedOn;
	}

	/**
	 * The attributes of the step that determine its position in the queue.
	 * @return the queue entry
	 */
	QueueEntry queueEntry() {
		return this.queueEntry;
	}

	/**
	 * Records that no worker had free capacity for a task of the step.
	 * @param changes number of the latest worker change before the search
	 * @param fullSearchNanos when all workers were last searched
	 */
	void recordFailedSearch(long changes, long fullSearchNanos) {
		this.lastSearchedChange = changes;
		this.fullSearchNanos = fullSearchNanos;
	}

	/**
	 * Makes the next search cover all workers, because more of them may have become
	 * eligible.
	 */
	void resetSearch() {
		this.lastSearchedChange = NOT_SEARCHED;
	}

	/**
	 * Number of the latest worker change that the last failed search covered.
	 * @return the change number, negative if all workers have to be searched
	 */
	long lastSearchedChange() {
		return this.lastSearchedChange;
	}

	long fullSearchNanos() {
		return this.fullSearchNanos;
	}

	/**
	 * Whether workers may hold capacity for the step until its tickets are renewed.
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
	 * Tasks that can be started now.
	 * @return indexes of the tasks; for a gang all of them or none
	 */
	List<Integer> waitingTasks() {
		List<Integer> waiting = tasksWithoutRun();
		return this.progress.tasksWithRecordedStart().isEmpty() ? waiting : withoutUndurableRecords(waiting);
	}

	/**
	 * Tasks that are not done and of which no run is known, whether or not they can be
	 * started now.
	 * @return indexes of the tasks; for a gang all of them or none
	 */
	List<Integer> tasksWithoutRun() {
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

	/**
	 * Returns whether there is a task that is not done and of which no run is known.
	 * @return {@code false} if {@link #tasksWithoutRun()} is empty
	 */
	boolean hasTasksWithoutRun() {
		return !tasksWithoutRun().isEmpty();
	}

	/**
	 * Returns whether tasks wait because a crash or start of theirs is not durable yet.
	 * @return {@code true} if so
	 */
	boolean hasTasksBehindUndurableRecords() {
		return this.job.hasUndurableCrashRecords() && !tasksWithoutRun().isEmpty();
	}

	/**
	 * Returns why the tasks of the step wait and since when.
	 * @return the wait, without a reason if none is waiting
	 */
	StepWait waiting() {
		return this.wait;
	}

	// The next owner has to know of a crash before the task is started again. Suspected
	// tasks come last: what keeps them waiting does not concern the others.
	private List<Integer> withoutUndurableRecords(List<Integer> waiting) {
		boolean isDurable = !this.job.hasUndurableCrashRecords();
		List<Integer> startable = waiting.stream()
			.filter((index) -> isDurable || !this.progress.isStartRecorded(index))
			.sorted(Comparator.comparing(this::suspicion))
			.toList();
		return (this.spec.gang() && startable.size() < waiting.size()) ? List.of() : startable;
	}

	// Satisfied dependencies stay satisfied, so the result is cached.
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
	 * Returns whether only a part of a gang runs.
	 * @param mayRunUnseen matches tasks that may run although no run is known
	 * @return {@code true} if a member is missing, so that the others do no work
	 */
	boolean isIncompleteGang(Predicate<TaskKey> mayRunUnseen) {
		if (!this.spec.gang() || isIdle() || this.job.isEnded() || progress().isComplete()) {
			return false;
		}
		return IntStream.range(0, this.runs.length)
			.filter((index) -> this.runs[index] == null && !progress().isDone(index))
			.anyMatch((index) -> !mayRunUnseen.test(this.key.task(index)));
	}

	/**
	 * Attempt number for the next start of a task; the tasks of a gang share one.
	 * @param index the task
	 * @return the next attempt
	 */
	int nextAttempt(int index) {
		int highest = this.spec.gang() ? Arrays.stream(this.attempts).max().orElse(0) : this.attempts[index];
		return highest + 1;
	}

	/**
	 * How strongly a task is suspected to crash its workers.
	 * @param index the task
	 * @return the suspicion
	 */
	CrashSuspicion suspicion(int index) {
		return this.progress.crashes(index).suspicion();
	}

	boolean hasRun(int index) {
		return this.runs[index] != null;
	}

	void addRun(Run run) {
		int index = run.task().index();
		this.runs[index] = run;
		this.wait.end();
		recordAttempt(index, run.attempt());
	}

	/**
	 * Records that an attempt number was used, so that the next one is higher.
	 * @param index the task
	 * @param attempt the attempt number
	 */
	void recordAttempt(int index, int attempt) {
		this.attempts[index] = Math.max(this.attempts[index], attempt);
	}

	/** Numbers later attempts above those of progress that was added. */
	void progressJoined() {
		Arrays.setAll(this.attempts, (index) -> Math.max(this.attempts[index], progress().highestAttempt()));
	}

	/**
	 * Removes a run that has ended.
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
	 * Records that a start request was not answered in time, so that a later start is
	 * sent elsewhere: the worker may answer polls and no starts.
	 * @param run the run
	 */
	void recordUnansweredStart(Run run) {
		run.markStartUnanswered();
		recordFailure(run.task().index(), run.workerId());
	}

	/**
	 * The worker on which a task failed most recently, or did not start.
	 * @param index the task
	 * @return the worker's id, empty if there is none
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
