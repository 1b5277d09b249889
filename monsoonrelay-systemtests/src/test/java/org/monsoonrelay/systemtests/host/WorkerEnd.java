package org.monsoonrelay.systemtests.host;

import java.util.List;

/**
 * The end of a run on a worker. Immutable.
 *
 * @param number its number on that incarnation of the worker
 * @param task the task
 * @param attempt the attempt
 * @param how how it ended
 * @param endedNanos when
 */
record WorkerEnd(long number, String task, int attempt, String how, long endedNanos) {

	List<Object> toList() {
		return List.of(this.number, this.task, this.attempt, this.how, "");
	}

}
