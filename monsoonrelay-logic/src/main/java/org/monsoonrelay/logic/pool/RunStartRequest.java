package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * An order to start a run. Immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param spec the text that the caller gave
 * @param leaseEndMillis until when everything on the worker may run, on the worker's
 * clock
 * @param fencingToken the owner's fencing token
 * @param checkpoint progress to resume from, empty for none
 * @param ticket proof that the worker may run the step, empty if none is needed
 */
public record RunStartRequest(TaskKey task, int attempt, String spec, long leaseEndMillis, long fencingToken,
		String checkpoint, String ticket) {

}
