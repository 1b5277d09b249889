package org.monsoonrelay.model.submission;

/**
 * A service whose workers run tasks. Immutable.
 *
 * @param name name of the service
 * @param enforcesCapacity whether its workers refuse tasks that exceed their free
 * capacity; otherwise they start every task that they are requested to start
 */
public record WorkerService(String name, boolean enforcesCapacity) {

}
