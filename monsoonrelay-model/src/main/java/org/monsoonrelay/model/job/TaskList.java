package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The tasks of a job with counts of their states, so that no round of scheduling walks
 * over all tasks. Invariant: the counts are those of the declared tasks. Not thread-safe.
 */
final class TaskList {

	private final List<Task> tasks = new ArrayList<>();

	private final int[] counts = new int[TaskState.values().length];

	private final BitSet waiting = new BitSet();

	private int declared;

	private int open;

	TaskList(int declared) {
		declare(declared);
	}

	/**
	 * Change the number of declared tasks. Tasks beyond it are kept.
	 * @param number the number
	 */
	void declare(int number) {
		this.declared = number;
		grow(number);
		this.waiting.clear();
		Arrays.fill(this.counts, 0);
		for (Task task : this.tasks.subList(0, number)) {
			count(task, 1);
		}
	}

	private void grow(int number) {
		while (this.tasks.size() < number) {
			Task task = new Task(this.tasks.size());
			this.tasks.add(task);
			count(task, 1);
		}
	}

	private void count(Task task, int change) {
		if (task.index() < this.declared) {
			this.counts[task.state().ordinal()] += change;
			this.waiting.set(task.index(), change > 0 && task.state() == TaskState.WAITING);
		}
	}

	void restore(TaskRecord recorded, TaskState restored, boolean hasEnded) {
		Task task = get(recorded.task());
		change(task, () -> task.restore(recorded, restored, hasEnded));
	}

	void set(Task task, TaskState state) {
		change(task, () -> task.setState(state));
	}

	private void change(Task task, Runnable change) {
		count(task, -1);
		this.open -= task.isOpen() ? 1 : 0;
		change.run();
		this.open += task.isOpen() ? 1 : 0;
		count(task, 1);
	}

	/**
	 * A task, also one beyond those declared.
	 * @param index its index
	 * @return the task
	 */
	Task get(int index) {
		grow(index + 1);
		return this.tasks.get(index);
	}

	/**
	 * Indexes of declared tasks that wait and whose backoff is over.
	 * @param now the current time
	 * @param limit the most to return
	 * @return the indexes, ascending
	 */
	List<Integer> due(Instant now, int limit) {
		List<Integer> due = new ArrayList<>();
		for (int index = this.waiting.nextSetBit(0); index >= 0
				&& due.size() < limit; index = this.waiting.nextSetBit(index + 1)) {
			if (this.tasks.get(index).isDue(now)) {
				due.add(index);
			}
		}
		return due;
	}

	int count(TaskState state) {
		return this.counts[state.ordinal()];
	}

	Map<TaskState, Integer> counts() {
		Map<TaskState, Integer> present = new EnumMap<>(TaskState.class);
		for (TaskState state : TaskState.values()) {
			if (count(state) > 0) {
				present.put(state, count(state));
			}
		}
		return present;
	}

	int openCount() {
		return this.open;
	}

	int declared() {
		return this.declared;
	}

	Stream<Task> all() {
		return this.tasks.stream();
	}

	Stream<Task> declaredTasks() {
		return this.tasks.stream().limit(this.declared);
	}

}
