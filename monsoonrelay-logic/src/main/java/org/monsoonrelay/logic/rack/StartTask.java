package org.monsoonrelay.logic.rack;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;

/**
 * Command to start an attempt. Idempotent: a worker starts an attempt identifier at most
 * once. Immutable.
 *
 * @param attempt the attempt identifier
 * @param team the team whose quota the attempt counts against
 * @param size the resources allocated to the attempt
 * @param runMillis declared run time in milliseconds, 0 if it is unlimited
 */
public record StartTask(AttemptId attempt, String team, Resources size, long runMillis) {

}
