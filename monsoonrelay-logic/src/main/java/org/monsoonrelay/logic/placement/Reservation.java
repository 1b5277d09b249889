package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Room that a rack's owner holds for an attempt. Immutable.
 *
 * @param attempt the attempt
 * @param worker the worker
 * @param incarnation the worker's incarnation
 */
public record Reservation(AttemptId attempt, WorkerId worker, String incarnation) {

}
