package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * A look at a worker, which also extends its lease. Immutable.
 *
 * @param fencingToken the owner's fencing token
 * @param acknowledgedSequence ends up to this number are durable and may be forgotten
 * @param leaseEndMillis until when everything there may run, on the worker's clock; empty
 * to leave it as it is
 * @param maxWait how long the worker may hold the answer back until a run ends
 */
public record PollRequest(long fencingToken, long acknowledgedSequence, OptionalLong leaseEndMillis, Duration maxWait) {

}
