package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * A look at a worker, which also extends its lease. Immutable.
 *
 * @param fence the owner's fencing token
 * @param acknowledged ends up to this number are durable and may be forgotten
 * @param leaseMillis until when everything there may run, on the worker's clock; empty to
 * leave it as it is
 * @param patience how long the worker may hold the answer back until a run ends
 */
public record LookOrder(long fence, long acknowledged, OptionalLong leaseMillis, Duration patience) {

}
