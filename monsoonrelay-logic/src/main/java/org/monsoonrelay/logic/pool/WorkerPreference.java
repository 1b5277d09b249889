package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;

/**
 * A soft term in the choice among workers that could all run a task. It never excludes a
 * worker. Implementations are confined to the control thread.
 */
public interface WorkerPreference {

	/** Prefers no worker. */
	WorkerPreference NONE = (key, step, worker) -> 0;

	/**
	 * Prepares the preference for the selection of a worker. Until the next call,
	 * penalties are asked for this task only.
	 * @param task the task
	 */
	default void beginSelection(WaitingTask task) {
	}

	/**
	 * Returns how undesirable a worker is for a task of a step.
	 * @param key the step
	 * @param step what the step requires
	 * @param worker id of the worker
	 * @return 0 or more; workers with the lowest value are preferred
	 */
	int penalty(StepKey key, StepSpec step, String worker);

}
