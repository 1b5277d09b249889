package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * An order to start a run. Immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param spec the text that the caller gave
 * @param leaseMillis until when everything on the worker may run, on the worker's clock
 * @param fence the owner's fencing token
 * @param checkpoint progress to resume from, empty for none
 * @param ticket proof that the worker may run the step, empty if none is needed
 */
public record StartOrder(TaskKey task, int attempt, String spec, long leaseMillis, long fence, String checkpoint,
		String ticket) {

}
