package org.monsoonrelay.model.workload;

import org.monsoonrelay.model.request.TrafficClass;

/**
 * One operation that a service offers to callers. Immutable.
 *
 * @param name name of the operation, the last part of its path
 * @param trafficClass traffic class of its requests
 * @param repeatable whether a request may be sent to backend servers more than once
 * @param deadlineMillis deadline of requests without their own one, in milliseconds
 */
public record Operation(String name, TrafficClass trafficClass, boolean repeatable, int deadlineMillis) {

}
