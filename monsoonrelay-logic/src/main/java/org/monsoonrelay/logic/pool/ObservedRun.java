package org.monsoonrelay.logic.pool;

import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A run as an observer learns of it. Immutable.
 *
 * @param task the task
 * @param attempt the attempt number
 * @param worker id of the worker
 * @param queue name of the job's queue
 * @param step the step of the task
 * @param resumed whether the run continues from a checkpoint, so that it takes less than
 * the declared run time
 * @param adopted whether an earlier owner started the run, so that its start is not known
 */
public record ObservedRun(TaskKey task, int attempt, String worker, String queue, StepSpec step, boolean resumed,
		boolean adopted) {

}
