package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * A poll of a worker, which can also extend the worker's lease. Immutable.
 *
 * @param fencingToken the owner's fencing token
 * @param acknowledgedSequence terminations up to this sequence number are durable, so the
 * worker may discard them
 * @param leaseEndMillis end of the lease under which all runs on the worker execute, on
 * the worker's clock in milliseconds; empty to leave the lease unchanged
 * @param maxWait how long the worker may delay its response until a run terminates
 */
public record PollRequest(long fencingToken, long acknowledgedSequence, OptionalLong leaseEndMillis, Duration maxWait) {

}
