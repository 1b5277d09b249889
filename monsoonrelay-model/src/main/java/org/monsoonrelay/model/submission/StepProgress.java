package org.monsoonrelay.model.submission;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Which tasks of a step are done and which have failed how often. Invariants: a task that
 * is done stays done; a run counts as failed once, however often its end is reported. Not
 * thread-safe: confined to the control thread of the pool's owner.
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
	 * Restore what was durable.
	 * @param spec the step
	 * @param saved its record
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
	 * Note that a task has ended well. A gang is done with the first of its members.
	 * @param index the task
	 * @return {@code true} if that was not known yet
	 */
	public boolean markDone(int index) {
		int counted = trackedIndex(index);
		boolean isNew = !this.done.get(counted);
		this.done.set(counted);
		this.checkpoints.remove(counted);
		return isNew;
	}

	/**
	 * Count a failed run, once. Workers may list the ends of a task's runs in any order.
	 * @param index the task
	 * @param attempt the run's attempt
	 * @return {@code true} if that was not known yet
	 */
	public boolean markFailed(int index, int attempt) {
		return this.failedAttempts.computeIfAbsent(trackedIndex(index), (task) -> new TreeSet<>()).add(attempt);
	}

	/**
	 * Remember the highest attempt that was used.
	 * @param attempt the attempt
	 */
	public void recordAttempt(int attempt) {
		this.highestAttempt = Math.max(this.highestAttempt, attempt);
	}

	/**
	 * Keep a task's saved progress. A gang shares one.
	 * @param index the task
	 * @param checkpoint the saved progress, empty for none
	 */
	public void saveCheckpoint(int index, String checkpoint) {
		if (!checkpoint.isEmpty() && !isDone(index)) {
			this.checkpoints.put(trackedIndex(index), checkpoint);
		}
	}

	/**
	 * Saved progress from which the next run resumes.
	 * @param index the task
	 * @return the progress, empty for none
	 */
	public String checkpoint(int index) {
		return this.checkpoints.getOrDefault(trackedIndex(index), "");
	}

	public boolean isDone(int index) {
		return this.done.get(trackedIndex(index));
	}

	/**
	 * Whether all tasks are done.
	 * @return {@code true} if the steps that depend on this one may begin
	 */
	public boolean isComplete() {
		return !this.spec.longRunning() && this.done.cardinality() >= this.spec.completionCount();
	}

	/**
	 * Failed runs of the task that failed most often.
	 * @return the count
	 */
	public int maximumFailures() {
		return this.failedAttempts.values().stream().mapToInt(Set::size).max().orElse(0);
	}

	public int highestAttempt() {
		return this.highestAttempt;
	}

	/**
	 * What has to be durable.
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
