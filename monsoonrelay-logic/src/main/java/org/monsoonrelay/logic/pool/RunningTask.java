package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * A run that a worker lists as running. Immutable.
 *
 * @param task the task
 * @param attempt the attempt
 * @param checkpoint saved progress, empty for none
 * @param speedPercent share of its speed at which it may work
 * @param usage for a task that serves users the tail of its response times, milliseconds;
 * for others the processors in use, thousandths; -1 if not told
 */
public record RunningTask(TaskKey task, int attempt, String checkpoint, int speedPercent, long usage) {

}
