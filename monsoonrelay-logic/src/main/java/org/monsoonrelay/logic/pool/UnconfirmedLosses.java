package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Tasks whose runs are known to be over only because this owner cannot keep them active
 * any more. A successor could: it may have extended the lease of the worker, or read and
 * acknowledged the end of the run. Invariant: a loss is confirmed only by a write of the
 * owner record that was composed after it and took effect, which shows that there was no
 * successor at the time of the loss. Not thread-safe: confined to the control thread.
 */
final class UnconfirmedLosses {

	private static final long NONE = 0;

	private final Predicate<String> isInherited;

	// By task, the number of its last loss.
	private final Map<TaskKey, Long> losses = new HashMap<>();

	// The number of the last loss that may concern any task of an inherited job.
	private long inheritedLoss = NONE;

	private long lastLoss = NONE;

	/**
	 * Creates an empty collection.
	 * @param isInherited whether an earlier owner may have started tasks of a job
	 */
	UnconfirmedLosses(Predicate<String> isInherited) {
		this.isInherited = isInherited;
	}

	/**
	 * Records the loss of a run.
	 * @param task the task
	 */
	void record(TaskKey task) {
		this.losses.put(task, ++this.lastLoss);
	}

	/**
	 * Records the loss of a worker on which an earlier owner may have started any task.
	 */
	void recordAnyInherited() {
		this.inheritedLoss = ++this.lastLoss;
	}

	/**
	 * Returns the number of the last loss, to be read when a write is composed.
	 * @return the number, which only increases
	 */
	long lastLoss() {
		return this.lastLoss;
	}

	/**
	 * Confirms losses, as a write of the owner record has taken effect.
	 * @param upTo the number of the last loss when the write was composed
	 */
	void confirm(long upTo) {
		this.losses.values().removeIf((loss) -> loss <= upTo);
		this.inheritedLoss = (this.inheritedLoss <= upTo) ? NONE : this.inheritedLoss;
	}

	/**
	 * Returns the tasks of the losses that are known one by one.
	 * @return the tasks
	 */
	Set<TaskKey> tasks() {
		return this.losses.keySet();
	}

	boolean isEmpty() {
		return this.losses.isEmpty() && this.inheritedLoss == NONE;
	}

	/**
	 * Returns whether a run of a task may have been lost without a confirmation.
	 * @param task the task
	 * @return {@code true} if the task must not be started
	 */
	boolean contains(TaskKey task) {
		return this.losses.containsKey(task) || (this.inheritedLoss != NONE && this.isInherited.test(task.job()));
	}

}
