package org.monsoonrelay.adapters.peer;

import java.time.Duration;

/**
 * When a connection counts as silent. Immutable.
 *
 * @param silenceLimit a connection on which nothing has arrived for this long is closed
 * @param pingAfter a side that has sent nothing for this long sends a ping
 */
public record PeerTimings(Duration silenceLimit, Duration pingAfter) {

	/**
	 * The timings in use between daemons.
	 */
	static final PeerTimings DEFAULT = new PeerTimings(Duration.ofSeconds(4), Duration.ofSeconds(1));

}
