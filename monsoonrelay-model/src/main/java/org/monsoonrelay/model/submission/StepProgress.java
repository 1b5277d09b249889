package org.monsoonrelay.model.submission;

import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Progress of a step: its completed tasks, failed attempts, crashes and checkpoints.
 * Invariants: a completed task stays completed; a failed attempt is counted once, even if
 * its end is reported several times; crashes are counted for each member of a gang; the
 * size does not grow with the number of attempts, as a task with limited attempts fails
 * less often than its limit before the job ends, and failures of long-running tasks are
 * not kept. Not thread-safe: confined to the control thread of the pool's owner.
 */
public final class StepProgress {

	private final StepSpec spec;

	private final BitSet done = new BitSet();

	private final Map<Integer, SortedSet<Integer>> failedAttempts = new HashMap<>();

	// The last failed attempt of each long-running task. Not durable, as failures limit
	// nothing there.
	private final Map<Integer, Integer> lastFailures = new HashMap<>();

	private final Map<Integer, String> checkpoints = new HashMap<>();

	// Also contains tasks without crashes whose starts the next owner has to know of.
	private final Map<Integer, TaskCrashes> crashes = new HashMap<>();

	private int highestAttempt;

	public StepProgress(StepSpec spec) {
		this.spec = spec;
	}

	/**
	 * Restore progress from its durable form.
	 * @param spec the step
	 * @param saved durable record of the step
	 * @return the progress
	 */
	public static StepProgress restore(StepSpec spec, StepRecord saved) {
		StepProgress progress = new StepProgress(spec);
		saved.done().forEach(progress.done::set);
		progress.addFailures(saved);
		progress.checkpoints.putAll(saved.checkpoints());
		progress.crashes.putAll(saved.crashes());
		progress.highestAttempt = saved.highestAttempt();
		return progress;
	}

	/**
	 * Add what another record of the same step tells. Nothing that either of them knows
	 * is lost, so records may be joined in any order; of two checkpoints of a task, the
	 * one that was known stays.
	 * @param told the other record
	 */
	public void join(StepRecord told) {
		told.done().forEach(this.done::set);
		addFailures(told);
		told.checkpoints().forEach(this.checkpoints::putIfAbsent);
		told.crashes().forEach((index, crashes) -> this.crashes.merge(index, crashes, TaskCrashes::join));
		this.checkpoints.keySet().removeIf(this::isDone);
		this.crashes.keySet().removeIf(this::isDone);
		recordAttempt(told.highestAttempt());
	}

	// Earlier releases also list the failed attempts of long-running tasks.
	private void addFailures(StepRecord saved) {
		saved.failedAttempts().forEach((index, attempts) -> attempts.forEach((attempt) -> markFailed(index, attempt)));
	}

	/**
	 * Record that a task has completed. A gang is complete when its first member is.
	 * @param index number of the task
	 * @return {@code true} if the completion was not recorded yet
	 */
	public boolean markDone(int index) {
		int counted = trackedIndex(index);
		boolean isNew = !this.done.get(counted);
		this.done.set(counted);
		this.crashes.remove(index);
		this.checkpoints.remove(counted);
		return isNew;
	}

	/**
	 * Record a failed attempt. Workers may report the terminations of a task's attempts
	 * in any order, so each attempt is recorded by its number. Of a long-running task
	 * only the last one is remembered, by this process.
	 * @param index number of the task
	 * @param attempt number of the attempt
	 * @return {@code true} if the failure was not recorded yet
	 */
	public boolean markFailed(int index, int attempt) {
		if (this.spec.longRunning()) {
			int known = this.lastFailures.getOrDefault(trackedIndex(index), 0);
			this.lastFailures.put(trackedIndex(index), Math.max(known, attempt));
			return attempt > known;
		}
		return this.failedAttempts.computeIfAbsent(trackedIndex(index), (task) -> new TreeSet<>()).add(attempt);
	}

	/**
	 * Record that a worker may have crashed while a task was active on it.
	 * @param index number of the task
	 * @param evidence how certain that is
	 */
	public void recordCrash(int index, CrashEvidence evidence) {
		if (evidence != CrashEvidence.NONE) {
			this.crashes.merge(index, TaskCrashes.NONE.plus(evidence), (known, one) -> known.plus(evidence));
		}
	}

	/**
	 * Take back a possible crash: the worker has turned out to be up.
	 * @param index number of the task
	 */
	public void retractPossibleCrash(int index) {
		this.crashes.computeIfPresent(index, (task, known) -> known.withoutPossible());
	}

	/**
	 * Forget the crashes of a task that has proved not to be their cause.
	 * @param index number of the task
	 */
	public void clearCrashes(int index) {
		this.crashes.remove(index);
	}

	/**
	 * Crashes of workers on which a task was active.
	 * @param index number of the task
	 * @return the crashes, none for most tasks
	 */
	public TaskCrashes crashes(int index) {
		return this.crashes.getOrDefault(index, TaskCrashes.NONE);
	}

	/**
	 * Record that a task may be started from now on. An owner that takes over and finds
	 * neither the run nor its end assumes that the run was lost with its worker.
	 * @param index number of the task
	 */
	public void recordStart(int index) {
		this.crashes.merge(index, TaskCrashes.ONLY_STARTED, (known, start) -> known.started());
	}

	/**
	 * Whether a start of a task, or a crash under it, is recorded.
	 * @param index number of the task
	 * @return {@code true} if so
	 */
	public boolean isStartRecorded(int index) {
		return this.crashes.containsKey(index);
	}

	/**
	 * Whether a start of a task is recorded since the last crash under it.
	 * @param index number of the task
	 * @return {@code true} if so
	 */
	public boolean isStartRecordedSinceCrash(int index) {
		return crashes(index).startRecorded();
	}

	/**
	 * Tasks of which a start or a crash is recorded.
	 * @return numbers of the tasks
	 */
	public Set<Integer> tasksWithRecordedStart() {
		return Set.copyOf(this.crashes.keySet());
	}

	/**
	 * Whether a task is given up because it crashes its workers.
	 * @return {@code true} if there is such a task
	 */
	public boolean hasCrashingTask() {
		return this.crashes.values().stream().anyMatch((task) -> task.suspicion() == CrashSuspicion.GIVEN_UP);
	}

	/**
	 * Record the number of an attempt that ended.
	 * @param attempt number of the attempt
	 */
	public void recordAttempt(int attempt) {
		this.highestAttempt = Math.max(this.highestAttempt, attempt);
	}

	/**
	 * Save the checkpoint of a task. The members of a gang share one checkpoint.
	 * @param index number of the task
	 * @param checkpoint the checkpoint, empty for none
	 */
	public void saveCheckpoint(int index, String checkpoint) {
		if (!checkpoint.isEmpty() && !isDone(index)) {
			this.checkpoints.put(trackedIndex(index), checkpoint);
		}
	}

	/**
	 * Checkpoint from which the next attempt resumes.
	 * @param index number of the task
	 * @return the checkpoint, empty for none
	 */
	public String checkpoint(int index) {
		return this.checkpoints.getOrDefault(trackedIndex(index), "");
	}

	public boolean isDone(int index) {
		return this.done.get(trackedIndex(index));
	}

	/**
	 * Whether all tasks are complete. A step of long-running tasks never is.
	 * @return {@code true} if the steps that depend on this one may start
	 */
	public boolean isComplete() {
		return !this.spec.longRunning() && this.done.cardinality() >= this.spec.completionCount();
	}

	/**
	 * Number of failed attempts of the task that failed most often.
	 * @return the count, 0 for long-running tasks
	 */
	public int maximumFailures() {
		return this.failedAttempts.values().stream().mapToInt(Set::size).max().orElse(0);
	}

	/**
	 * Number of failed attempts of a task.
	 * @param index number of the task
	 * @return the count, 0 for long-running tasks
	 */
	public int failures(int index) {
		return this.failedAttempts.getOrDefault(trackedIndex(index), Collections.emptySortedSet()).size();
	}

	/**
	 * Number of completed tasks, 1 for a complete gang.
	 * @return the count
	 */
	public int doneCount() {
		return this.done.cardinality();
	}

	public int highestAttempt() {
		return this.highestAttempt;
	}

	/**
	 * Convert the progress to its durable form.
	 * @return the record
	 */
	public StepRecord toRecord() {
		Map<Integer, List<Integer>> failed = new HashMap<>();
		this.failedAttempts.forEach((index, attempts) -> failed.put(index, List.copyOf(attempts)));
		return new StepRecord(this.done.stream().boxed().toList(), failed, this.checkpoints, this.highestAttempt,
				this.crashes);
	}

	private int trackedIndex(int index) {
		return this.spec.gang() ? 0 : index;
	}

}
