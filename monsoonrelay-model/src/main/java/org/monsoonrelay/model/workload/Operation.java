package org.monsoonrelay.model.workload;

import org.monsoonrelay.model.request.TrafficClass;

/**
 * One operation that a service offers to callers. Immutable.
 *
 * @param name the operation's name, the last part of its path
 * @param trafficClass its class
 * @param repeatable whether it may be sent to a backend server more than once
 * @param deadlineMillis time a request has when the caller names none, in milliseconds
 */
public record Operation(String name, TrafficClass trafficClass, boolean repeatable, int deadlineMillis) {

}
