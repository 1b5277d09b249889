package org.monsoonrelay.model.submission;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Progress of a step: its completed tasks, failed attempts and checkpoints. Invariants: a
 * completed task stays completed; a failed attempt is counted once, even if its end is
 * reported several times. Not thread-safe: confined to the control thread of the pool's
 * owner.
 */
public final class StepProgress {

	private final StepSpec spec;

	private final BitSet done = new BitSet();

	private final Map<Integer, SortedSet<Integer>> failedAttempts = new HashMap<>();

	private final Map<Integer, String> checkpoints = new HashMap<>();

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
		saved.failedAttempts()
			.forEach((index, attempts) -> progress.failedAttempts.put(index, new TreeSet<>(attempts)));
		progress.checkpoints.putAll(saved.checkpoints());
		progress.highestAttempt = saved.highestAttempt();
		return progress;
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
		this.checkpoints.remove(counted);
		return isNew;
	}

	/**
	 * Record a failed attempt. Workers may report the terminations of a task's attempts
	 * in any order, so each attempt is recorded by its number.
	 * @param index number of the task
	 * @param attempt number of the attempt
	 * @return {@code true} if the failure was not recorded yet
	 */
	public boolean markFailed(int index, int attempt) {
		return this.failedAttempts.computeIfAbsent(trackedIndex(index), (task) -> new TreeSet<>()).add(attempt);
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
	 * @return the count
	 */
	public int maximumFailures() {
		return this.failedAttempts.values().stream().mapToInt(Set::size).max().orElse(0);
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
		return new StepRecord(this.done.stream().boxed().toList(), failed, this.checkpoints, this.highestAttempt);
	}

	private int trackedIndex(int index) {
		return this.spec.gang() ? 0 : index;
	}

}
