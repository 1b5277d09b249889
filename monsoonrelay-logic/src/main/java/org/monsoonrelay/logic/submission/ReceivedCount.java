package org.monsoonrelay.logic.submission;

/**
 * The newest count that a host has received. Immutable.
 *
 * @param count the count
 * @param source how it was received
 * @param receivedNanos when it was received, monotonic time in nanoseconds
 */
record ReceivedCount(QueueCount count, CountSource source, long receivedNanos) {

	static final ReceivedCount NONE = new ReceivedCount(QueueCount.NONE, CountSource.NONE, 0);

	static ReceivedCount newer(ReceivedCount known, ReceivedCount received) {
		return (received.count.version() > known.count.version()) ? received : known;
	}

}
