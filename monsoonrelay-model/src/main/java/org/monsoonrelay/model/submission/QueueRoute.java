package org.monsoonrelay.model.submission;

/**
 * Route from callers' addresses to a queue. Immutable.
 *
 * @param host host name that callers send
 * @param pathPrefix prefix of the paths that belong to the queue
 * @param timeoutMillis timeout of a caller's request, milliseconds
 * @param policy scheduling policy of the queue
 */
public record QueueRoute(String host, String pathPrefix, long timeoutMillis, QueuePolicy policy) {

}
