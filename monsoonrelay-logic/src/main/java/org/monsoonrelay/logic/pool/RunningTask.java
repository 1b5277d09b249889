package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * An active run as reported by its worker. Immutable.
 *
 * @param task the task
 * @param attempt the attempt number
 * @param checkpoint last checkpoint, empty for none
 * @param speedPercent percentage of full speed to which the run is limited
 * @param usage tail latency in milliseconds for a task that serves users; processors in
 * use, in thousandths, for other tasks; -1 if not reported
 */
public record RunningTask(TaskKey task, int attempt, String checkpoint, int speedPercent, long usage) {

}
