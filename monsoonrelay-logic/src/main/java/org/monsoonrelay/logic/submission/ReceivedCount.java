package org.monsoonrelay.logic.submission;

import java.util.OptionalLong;

/**
 * The newest count that a host has received. Immutable.
 *
 * @param count the count
 * @param source how it was received
 * @param receivedNanos when it was received, monotonic time in nanoseconds
 * @param countedAfterNanos a time after which it was counted, monotonic time in
 * nanoseconds; empty if none is known
 */
record ReceivedCount(QueueCount count, CountSource source, long receivedNanos, OptionalLong countedAfterNanos) {

	static final ReceivedCount NONE = new ReceivedCount(QueueCount.NONE, CountSource.NONE, 0, OptionalLong.empty());

	static ReceivedCount newer(ReceivedCount known, ReceivedCount received) {
		return (received.count.version() > known.count.version()) ? received : known;
	}

}
