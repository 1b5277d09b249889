package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Tasks whose runs are over for this owner although it does not know whether the start
 * request was executed. The current incarnation of the worker refuses it by now, a later
 * one may not. Invariants: a task is contained until the run is reported after all, or
 * until its start request is older than {@link #MAX_EXECUTION_DELAY_MILLIS}; it is not
 * started again before. Not thread-safe: confined to the control thread.
 */
final class UnresolvedStarts {

	/**
	 * Time after which a start request that was not answered is taken to be lost,
	 * milliseconds. Workers execute requests up to 12 s late.
	 */
	static final long MAX_EXECUTION_DELAY_MILLIS = 12_500;

	private final Map<TaskKey, Start> starts = new HashMap<>();

	/**
	 * Records a start that may still be executed.
	 * @param task the task
	 * @param attempt the attempt in the request
	 * @param requestedNanos monotonic time at which the request was sent
	 */
	void record(TaskKey task, int attempt, long requestedNanos) {
		this.starts.put(task,
				new Start(attempt, requestedNanos + TimeUnit.MILLISECONDS.toNanos(MAX_EXECUTION_DELAY_MILLIS)));
	}

	/**
	 * Removes a start because a worker reports its run.
	 * @param task the task
	 * @param attempt the attempt that is active or has ended
	 */
	void resolve(TaskKey task, int attempt) {
		Start start = this.starts.get(task);
		if (start != null && start.attempt() == attempt) {
			this.starts.remove(task);
		}
	}

	/**
	 * Removes the starts whose requests are lost.
	 * @param nowNanos the current monotonic time
	 */
	void expire(long nowNanos) {
		if (!this.starts.isEmpty()) {
			this.starts.values().removeIf((start) -> nowNanos - start.expiryNanos() >= 0);
		}
	}

	boolean isEmpty() {
		return this.starts.isEmpty();
	}

	/**
	 * Returns whether a start request of a task may still be executed.
	 * @param task the task
	 * @return {@code true} if the task must not be started
	 */
	boolean contains(TaskKey task) {
		return this.starts.containsKey(task);
	}

	/**
	 * Returns the attempts that may still be started.
	 * @return the attempts by task
	 */
	Map<TaskKey, Integer> attempts() {
		Map<TaskKey, Integer> attempts = new HashMap<>();
		this.starts.forEach((task, start) -> attempts.put(task, start.attempt()));
		return attempts;
	}

	private record Start(int attempt, long expiryNanos) {

	}

}
