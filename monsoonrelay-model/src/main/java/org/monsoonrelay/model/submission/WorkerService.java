package org.monsoonrelay.model.submission;

/**
 * A service whose workers run tasks. Immutable.
 *
 * @param name the service's name
 * @param enforcesCapacity whether its workers refuse what does not fit; otherwise they
 * start whatever they are told to
 */
public record WorkerService(String name, boolean enforcesCapacity) {

}
