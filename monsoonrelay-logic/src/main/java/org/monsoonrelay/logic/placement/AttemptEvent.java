package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * What a rack's owner tells a queue owner of an attempt, until it is acknowledged.
 * Immutable.
 *
 * @param attempt the attempt
 * @param kind what is known
 * @param worker the worker
 */
public record AttemptEvent(AttemptId attempt, AttemptEventKind kind, WorkerId worker) {

}
