package org.monsoonrelay.logic.rack;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;

/**
 * One attempt in a worker's report. Immutable.
 *
 * @param attempt the attempt
 * @param team the team it counts against
 * @param size what it holds
 * @param phase its phase
 */
public record ReportedAttempt(AttemptId attempt, String team, Resources size, AttemptPhase phase) {

}
