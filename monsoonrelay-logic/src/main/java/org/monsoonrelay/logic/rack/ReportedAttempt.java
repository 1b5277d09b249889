package org.monsoonrelay.logic.rack;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;

/**
 * An attempt listed in a worker's report. Immutable.
 *
 * @param attempt the attempt identifier
 * @param team the team whose quota the attempt counts against
 * @param size the resources allocated to the attempt
 * @param phase the reported phase
 */
public record ReportedAttempt(AttemptId attempt, String team, Resources size, AttemptPhase phase) {

}
