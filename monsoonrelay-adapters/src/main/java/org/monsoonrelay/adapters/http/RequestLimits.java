package org.monsoonrelay.adapters.http;

import java.time.Duration;

/**
 * What a server accepts as a request. Immutable.
 *
 * @param maximumBodyBytes the largest body
 * @param receiveTimeout time from the first byte of a request to its last
 */
record RequestLimits(int maximumBodyBytes, Duration receiveTimeout) {

}
