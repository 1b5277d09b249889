package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * The time since which a worker has not answered polls. Not thread-safe: confined to the
 * control thread.
 */
final class PollSilence {

	private boolean silent;

	private long sinceNanos;

	/**
	 * Records an unanswered poll.
	 * @param nowNanos the current monotonic time
	 */
	void begin(long nowNanos) {
		if (!this.silent) {
			this.silent = true;
			this.sinceNanos = nowNanos;
		}
	}

	void end() {
		this.silent = false;
	}

	boolean isSilent() {
		return this.silent;
	}

	/**
	 * Returns when the worker stopped answering.
	 * @param nowNanos the current monotonic time
	 * @return the monotonic time, the current one if it answered the last poll
	 */
	long sinceNanos(long nowNanos) {
		return this.silent ? this.sinceNanos : nowNanos;
	}

	/**
	 * Returns for how long the worker has not answered.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if it answered the last poll
	 */
	long millis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos(nowNanos));
	}

	/**
	 * Returns the time from an earlier moment until the worker stopped answering.
	 * @param fromNanos the earlier monotonic time
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if the worker stopped answering before that moment
	 */
	long millisUntil(long fromNanos, long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(sinceNanos(nowNanos) - fromNanos));
	}

}
