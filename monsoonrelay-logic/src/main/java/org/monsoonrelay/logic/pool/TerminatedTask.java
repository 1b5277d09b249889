package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * An end that a worker lists until it is acknowledged. Immutable.
 *
 * @param sequence its number in this life of the worker
 * @param task the task
 * @param attempt the attempt
 * @param reason how the run ended
 * @param checkpoint saved progress, empty for none
 */
public record TerminatedTask(long sequence, TaskKey task, int attempt, TerminationReason reason, String checkpoint) {

}
