package org.monsoonrelay.adapters.http;

import java.time.Duration;

/**
 * Limits on the requests that a server accepts. Immutable.
 *
 * @param maximumBodyBytes the maximum size of a request body, bytes
 * @param receiveTimeout the maximum time from the first to the last byte of a request
 */
record RequestLimits(int maximumBodyBytes, Duration receiveTimeout) {

}
