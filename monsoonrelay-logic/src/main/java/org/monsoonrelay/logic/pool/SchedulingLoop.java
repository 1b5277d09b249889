package org.monsoonrelay.logic.pool;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Times the owner's turns: one soon after it was asked for, one at regular intervals
 * without that, and after each a pause in proportion to what it took. Invariant: however
 * often a turn is asked for, one is queued. Not thread-safe: confined to the control
 * thread.
 */
final class SchedulingLoop {

	/** Longest time between two turns, milliseconds. */
	static final long MAX_TURN_INTERVAL_MILLIS = 50;

	/**
	 * After a turn the control thread does other things for this many times as long:
	 * placing takes a tenth of its time at most, however much waits, and heartbeats,
	 * acceptance and renewals are not held up by a burst.
	 */
	static final long PAUSE_FACTOR = 9;

	/**
	 * Longest such pause, milliseconds, in case the process stood still within a turn; a
	 * tenth of the aim of the most urgent jobs.
	 */
	static final long MAX_PAUSE_MILLIS = 25;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final Runnable turn;

	private ScheduledFuture<?> timer;

	private boolean closed;

	private boolean turnQueued;

	private long nextTurnNanos;

	/**
	 * Create a timer that does nothing yet.
	 * @param control the control thread
	 * @param clock the time
	 * @param turn what to do in a turn
	 */
	SchedulingLoop(ScheduledExecutorService control, PoolClock clock, Runnable turn) {
		this.control = control;
		this.clock = clock;
		this.turn = turn;
		this.nextTurnNanos = clock.nanos();
	}

	/**
	 * Begin the turns at regular intervals.
	 */
	void start() {
		this.timer = this.control.scheduleWithFixedDelay(this::run, MAX_TURN_INTERVAL_MILLIS, MAX_TURN_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Ask for a turn as soon as the pause after the last one is over.
	 */
	void requestTurn() {
		if (this.turnQueued || this.closed) {
			return;
		}
		this.turnQueued = true;
		long wait = this.nextTurnNanos - this.clock.nanos();
		if (wait > 0) {
			this.control.schedule(this::run, wait, TimeUnit.NANOSECONDS);
		}
		else {
			this.control.execute(this::run);
		}
	}

	/**
	 * End the turns; one that is queued does nothing.
	 */
	void close() {
		this.closed = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	private void run() {
		this.turnQueued = false;
		if (this.closed) {
			return;
		}
		long begun = this.clock.nanos();
		this.turn.run();
		long ended = this.clock.nanos();
		this.nextTurnNanos = ended
				+ Math.min(TimeUnit.MILLISECONDS.toNanos(MAX_PAUSE_MILLIS), PAUSE_FACTOR * (ended - begun));
	}

}
