package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * The owner's regular message to the other hosts, by which they notice that it has ended
 * before its record expires. Not thread-safe: confined to the control thread.
 */
final class Heartbeat {

	/** Minimum interval between two heartbeats, milliseconds. */
	private static final long INTERVAL_MILLIS = 100;

	private final long epoch;

	private final PeerNotifier peers;

	private final PoolClock clock;

	private long sentNanos;

	/**
	 * Creates a heartbeat; the first one is due after an interval.
	 * @param epoch the owner's epoch
	 * @param peers sends it to the other hosts
	 * @param clock the clocks
	 */
	Heartbeat(long epoch, PeerNotifier peers, PoolClock clock) {
		this.epoch = epoch;
		this.peers = peers;
		this.clock = clock;
		this.sentNanos = clock.nanos();
	}

	/**
	 * Sends a heartbeat if the interval is over.
	 * @param recordVersion version of the owner record that the owner wrote last
	 */
	void sendIfDue(long recordVersion) {
		long now = this.clock.nanos();
		if (now - this.sentNanos >= TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS)) {
			this.sentNanos = now;
			this.peers.sendHeartbeat(this.epoch, recordVersion);
		}
	}

}
