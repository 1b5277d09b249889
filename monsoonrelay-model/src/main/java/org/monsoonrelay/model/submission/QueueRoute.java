package org.monsoonrelay.model.submission;

/**
 * Route from callers' addresses to a queue. Immutable.
 *
 * @param host host name that callers send
 * @param pathPrefix prefix of the paths that belong to the queue
 * @param timeoutMillis timeout of a caller's request, milliseconds
 * @param policy scheduling policy of the queue
 * @param publicAccess whether callers need no key although customers are configured
 */
public record QueueRoute(String host, String pathPrefix, long timeoutMillis, QueuePolicy policy, boolean publicAccess) {

	/**
	 * Creates a route whose callers need a key if customers are configured.
	 * @param host host name that callers send
	 * @param pathPrefix prefix of the paths that belong to the queue
	 * @param timeoutMillis timeout of a caller's request, milliseconds
	 * @param policy scheduling policy of the queue
	 */
	public QueueRoute(String host, String pathPrefix, long timeoutMillis, QueuePolicy policy) {
		this(host, pathPrefix, timeoutMillis, policy, false);
	}

}
