package org.monsoonrelay.logic.pool;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs the turns of the owner, each a pass of its scheduling loop. A turn runs soon after
 * it was requested, or at a regular interval without a request, and is followed by a
 * pause in proportion to its duration. Invariant: at most one requested turn is queued.
 * Not thread-safe: confined to the control thread.
 */
final class SchedulingLoop {

	/** Maximum time between two turns, milliseconds. */
	static final long MAX_TURN_INTERVAL_MILLIS = 50;

	/**
	 * Duration of the pause after a turn, as a multiple of the turn's duration. Placing
	 * takes at most a tenth of the control thread's time, however many tasks wait, so
	 * that a burst does not delay heartbeats, job acceptance and renewals.
	 */
	static final long PAUSE_FACTOR = 9;

	/**
	 * Maximum pause, milliseconds, in case the process was suspended during a turn. A
	 * tenth of the latency target of the most urgent jobs.
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
	 * Creates a loop that is not started.
	 * @param control executor of the control thread
	 * @param clock the clocks
	 * @param turn the work of a turn
	 */
	SchedulingLoop(ScheduledExecutorService control, PoolClock clock, Runnable turn) {
		this.control = control;
		this.clock = clock;
		this.turn = turn;
		this.nextTurnNanos = clock.nanos();
	}

	/** Starts the turns at a regular interval. */
	void start() {
		this.timer = this.control.scheduleWithFixedDelay(this::run, MAX_TURN_INTERVAL_MILLIS, MAX_TURN_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/** Requests a turn as soon as the pause after the last one is over. */
	void requestTurn() {
		if (this.turnQueued || this.closed) {
			return;
		}
		this.turnQueued = true;
		long delayNanos = this.nextTurnNanos - this.clock.nanos();
		if (delayNanos > 0) {
			this.control.schedule(this::run, delayNanos, TimeUnit.NANOSECONDS);
		}
		else {
			this.control.execute(this::run);
		}
	}

	/** Stops the loop. A queued turn does nothing. */
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
		long startNanos = this.clock.nanos();
		this.turn.run();
		long endNanos = this.clock.nanos();
		this.nextTurnNanos = endNanos
				+ Math.min(TimeUnit.MILLISECONDS.toNanos(MAX_PAUSE_MILLIS), PAUSE_FACTOR * (endNanos - startNanos));
	}

}
