package org.monsoonrelay.logic.rack;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;

/**
 * Order to start an attempt. Idempotent by the attempt's identity. Immutable.
 *
 * @param attempt the attempt
 * @param team the team it counts against
 * @param size what it holds
 * @param runMillis declared run time in milliseconds, 0 if it has no end
 */
public record StartTask(AttemptId attempt, String team, Resources size, long runMillis) {

}
