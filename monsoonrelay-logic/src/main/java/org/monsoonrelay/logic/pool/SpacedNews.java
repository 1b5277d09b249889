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
 * pause goes out at once; none waits longer than {@link #SPACING_MILLIS}; of a job the
 * last state is told, of the counts the last. All else goes straight on. Not thread-safe:
 * confined to the control thread.
 */
public final class SpacedNews implements OwnerPeers {

	/**
	 * Least time between two messages to a host, milliseconds. An owner with much to do
	 * writes every 20 ms and tells 34 hosts of each write; twice that is a sixth of the
	 * aim of the most urgent jobs.
	 */
	static final long SPACING_MILLIS = 40;

	private final OwnerPeers peers;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final Map<String, SubmissionState> states = new HashMap<>();

	private Optional<QueueCount> pending = Optional.empty();

	private long epoch;

	private boolean waiting;

	private long toldNanos;

	public SpacedNews(OwnerPeers peers, ScheduledExecutorService control, PoolClock clock) {
		this.peers = peers;
		this.control = control;
		this.clock = clock;
		this.toldNanos = clock.nanos() - TimeUnit.MILLISECONDS.toNanos(SPACING_MILLIS);
	}

	@Override
	public void heartbeat(long ofEpoch, long version) {
		this.peers.heartbeat(ofEpoch, version);
	}

	@Override
	public void durable(long ofEpoch, Map<String, SubmissionState> told, Optional<QueueCount> counted) {
		if (this.waiting && ofEpoch != this.epoch) {
			tell();
		}
		this.epoch = ofEpoch;
		this.states.putAll(told);
		this.pending = counted.or(() -> this.pending);
		if (this.waiting) {
			return;
		}
		this.waiting = true;
		long waitNanos = this.toldNanos + TimeUnit.MILLISECONDS.toNanos(SPACING_MILLIS) - this.clock.nanos();
		if (waitNanos <= 0) {
			tell();
		}
		else {
			this.control.schedule(this::tell, waitNanos, TimeUnit.NANOSECONDS);
		}
	}

	private void tell() {
		if (!this.waiting) {
			return;
		}
		this.waiting = false;
		this.toldNanos = this.clock.nanos();
		this.peers.durable(this.epoch, Map.copyOf(this.states), this.pending);
		this.states.clear();
		this.pending = Optional.empty();
	}

	@Override
	public void released(OwnerRecord record, long version) {
		tell();
		this.peers.released(record, version);
	}

	@Override
	public void inviteTakeOver(long version) {
		this.peers.inviteTakeOver(version);
	}

}
