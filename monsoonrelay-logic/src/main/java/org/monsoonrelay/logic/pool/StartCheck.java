package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;

/**
 * Which tasks of a step may be started. Immutable.
 *
 * @param tasks indexes of the tasks that wait for workers
 * @param reason why they, or others if there are none, must not be started now
 */
record StartCheck(List<Integer> tasks, Optional<WaitReason> reason) {

	/** No task is waiting. */
	static final StartCheck NONE_WAITING = new StartCheck(List.of(), Optional.empty());

	static StartCheck heldBack(WaitReason reason) {
		return new StartCheck(List.of(), Optional.of(reason));
	}

	/**
	 * Returns whether the tasks may be started as soon as there are workers for them.
	 * @return {@code true} if there are tasks and no reason to wait
	 */
	boolean mayStart() {
		return !this.tasks.isEmpty() && this.reason.isEmpty();
	}

}
