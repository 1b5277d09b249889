package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * A terminated run that a worker reports until the termination is acknowledged.
 * Immutable.
 *
 * @param sequence sequence number within this incarnation of the worker
 * @param task the task
 * @param attempt the attempt number
 * @param reason why the run terminated
 * @param checkpoint last checkpoint, empty for none
 */
public record TerminatedTask(long sequence, TaskKey task, int attempt, TerminationReason reason, String checkpoint) {

}
