package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The tasks of a job with the number of tasks in each state, so that a scheduling round
 * does not have to iterate over all tasks. Invariant: the counts include exactly the
 * declared tasks. Not thread-safe.
 */
final class TaskList {

	private final List<Task> tasks = new ArrayList<>();

	private final int[] counts = new int[TaskState.values().length];

	private final BitSet waiting = new BitSet();

	private int declaredCount;

	private int openCount;

	TaskList(int declared) {
		setDeclaredCount(declared);
	}

	/**
	 * Change the number of declared tasks. Tasks beyond this number are kept.
	 * @param number the number
	 */
	void setDeclaredCount(int number) {
		this.declaredCount = number;
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
		if (task.index() < this.declaredCount) {
			this.counts[task.state().ordinal()] += change;
			this.waiting.set(task.index(), change > 0 && task.state() == TaskState.WAITING);
		}
	}

	void restore(TaskRecord recorded, TaskState restored, boolean hasEnded) {
		Task task = get(recorded.task());
		update(task, () -> task.restore(recorded, restored, hasEnded));
	}

	void setState(Task task, TaskState state) {
		update(task, () -> task.setState(state));
	}

	void setStates(Predicate<Task> condition, TaskState state) {
		allTasks().filter(condition).forEach((task) -> setState(task, state));
	}

	private void update(Task task, Runnable change) {
		count(task, -1);
		this.openCount -= task.isOpen() ? 1 : 0;
		change.run();
		this.openCount += task.isOpen() ? 1 : 0;
		count(task, 1);
	}

	/**
	 * Return a task, which may be beyond the declared ones.
	 * @param index index of the task
	 * @return the task
	 */
	Task get(int index) {
		grow(index + 1);
		return this.tasks.get(index);
	}

	/**
	 * Declared tasks that are waiting and whose backoff has ended.
	 * @param now the current time
	 * @param limit maximum number of tasks to return
	 * @return the indexes of the tasks, ascending
	 */
	List<Integer> dueTasks(Instant now, int limit) {
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

	/**
	 * Tasks that have left their initial state, in their durable form.
	 * @return the records
	 */
	List<TaskRecord> changedRecords() {
		return allTasks().filter((task) -> task.attempt() > 0 || task.state() != TaskState.WAITING)
			.map(Task::toRecord)
			.toList();
	}

	int openCount() {
		return this.openCount;
	}

	int declaredCount() {
		return this.declaredCount;
	}

	Stream<Task> allTasks() {
		return this.tasks.stream();
	}

	Stream<Task> declaredTasks() {
		return this.tasks.stream().limit(this.declaredCount);
	}

}
