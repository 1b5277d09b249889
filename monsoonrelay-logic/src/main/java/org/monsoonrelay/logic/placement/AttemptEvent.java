package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * State of an attempt that a rack owner reports to a queue owner, repeated until it is
 * acknowledged. Immutable.
 *
 * @param attempt the attempt
 * @param kind the reported state
 * @param worker the worker it was placed on
 */
public record AttemptEvent(AttemptId attempt, AttemptEventKind kind, WorkerId worker) {

}
