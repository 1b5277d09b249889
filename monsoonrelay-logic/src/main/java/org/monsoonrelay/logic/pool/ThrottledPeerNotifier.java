package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Tells the other hosts of durable states at most once in a while: what becomes durable
 * soon after other news is told with what follows. Invariants: the first news after a
 * pause goes out at once; none waits longer than {@link #MIN_INTERVAL_MILLIS}; of a job
 * the last state is told, of the counts the last. All else goes straight on. Not
 * thread-safe: confined to the control thread.
 */
public final class ThrottledPeerNotifier implements PeerNotifier {

	/**
	 * Least time between two messages to a host, milliseconds. An owner with much to do
	 * writes every 20 ms and tells 34 hosts of each write; twice that is a sixth of the
	 * aim of the most urgent jobs.
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
	public void sendHeartbeat(long ofEpoch, long version) {
		this.peers.sendHeartbeat(ofEpoch, version);
	}

	@Override
	public void publishStates(long ofEpoch, Map<String, SubmissionState> told, Optional<QueueCount> counted) {
		if (this.flushPending && ofEpoch != this.epoch) {
			flush();
		}
		this.epoch = ofEpoch;
		this.pendingStates.putAll(told);
		this.pendingCount = counted.or(() -> this.pendingCount);
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
