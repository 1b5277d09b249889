package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * A request to start a run. Immutable.
 *
 * @param task the task
 * @param attempt the attempt number
 * @param spec the job specification as the caller submitted it
 * @param leaseEndMillis end of the lease under which all runs on the worker execute, on
 * the worker's clock in milliseconds
 * @param fencingToken the owner's fencing token
 * @param checkpoint checkpoint to resume from, empty for none
 * @param ticket eligibility ticket for the step, empty if none is required
 */
public record RunStartRequest(TaskKey task, int attempt, String spec, long leaseEndMillis, long fencingToken,
		String checkpoint, String ticket) {

}
