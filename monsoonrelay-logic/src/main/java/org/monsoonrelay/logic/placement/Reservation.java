package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Capacity that a rack owner has reserved for an attempt. Immutable.
 *
 * @param attempt the attempt
 * @param worker the worker with the capacity
 * @param incarnation the incarnation of the worker
 */
public record Reservation(AttemptId attempt, WorkerId worker, String incarnation) {

}
