package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Limits the rate at which durable states are published to other hosts: updates that
 * follow soon after a message are collected and sent together. Invariants: an update
 * after a pause is sent at once; no update is delayed longer than
 * {@link #MIN_INTERVAL_MILLIS}; of each job, and of the counts, only the latest value is
 * sent. Heartbeats and take-over requests are forwarded without delay. Not thread-safe:
 * confined to the control thread.
 */
public final class ThrottledPeerNotifier implements PeerNotifier {

	/**
	 * Minimum interval between two messages to a host, milliseconds. A busy owner writes
	 * every 20 ms and would notify 34 hosts of each write; twice that interval is a sixth
	 * of the latency target of the most urgent jobs.
	 */
	static final long MIN_INTERVAL_MILLIS = 40;

	private final PeerNotifier peers;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final Map<String, SubmissionState> pendingStates = new HashMap<>();

	private Optional<QueueCount> pendingCount = Optional.empty();

	private long epoch;

	private boolean flushPending;

	private long flushedNanos;

	public ThrottledPeerNotifier(PeerNotifier peers, ScheduledExecutorService control, PoolClock clock) {
		this.peers = peers;
		this.control = control;
		this.clock = clock;
		this.flushedNanos = clock.nanos() - TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MILLIS);
	}

	@Override
	public void sendHeartbeat(long newEpoch, long version) {
		this.peers.sendHeartbeat(newEpoch, version);
	}

	@Override
	public void publishStates(long newEpoch, Map<String, SubmissionState> newStates, Optional<QueueCount> newCount) {
		if (this.flushPending && newEpoch != this.epoch) {
			flush();
		}
		this.epoch = newEpoch;
		this.pendingStates.putAll(newStates);
		this.pendingCount = newCount.or(() -> this.pendingCount);
		if (this.flushPending) {
			return;
		}
		this.flushPending = true;
		long waitNanos = this.flushedNanos + TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MILLIS) - this.clock.nanos();
		if (waitNanos <= 0) {
			flush();
		}
		else {
			this.control.schedule(this::flush, waitNanos, TimeUnit.NANOSECONDS);
		}
	}

	private void flush() {
		if (!this.flushPending) {
			return;
		}
		this.flushPending = false;
		this.flushedNanos = this.clock.nanos();
		this.peers.publishStates(this.epoch, Map.copyOf(this.pendingStates), this.pendingCount);
		this.pendingStates.clear();
		this.pendingCount = Optional.empty();
	}

	@Override
	public void announceRelease(OwnerRecord record, long version) {
		flush();
		this.peers.announceRelease(record, version);
	}

	@Override
	public void requestTakeOver(long version) {
		this.peers.requestTakeOver(version);
	}

}
