package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * An end that a worker lists until it is acknowledged. Immutable.
 *
 * @param number its number in this life of the worker
 * @param task the task
 * @param attempt the attempt
 * @param kind how the run ended
 * @param checkpoint saved progress, empty for none
 */
public record EndedTask(long number, TaskKey task, int attempt, EndKind kind, String checkpoint) {

}
