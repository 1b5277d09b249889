package org.monsoonrelay.model.submission;

/**
 * Where callers reach a queue. Immutable.
 *
 * @param host the name that callers send as the host
 * @param pathPrefix prefix of the paths that belong to the queue
 * @param timeoutMillis how long a caller's exchange may take, milliseconds
 * @param policy how the queue's jobs are treated
 */
public record QueueRoute(String host, String pathPrefix, long timeoutMillis, QueuePolicy policy) {

}
