package org.monsoonrelay.logic.pool;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Records why the tasks of a step wait and since when. A wait begins with the first
 * reason and ends when a task is started or none is waiting any more. Not thread-safe:
 * confined to the control thread.
 */
final class StepWait {

	private Optional<WaitReason> reason = Optional.empty();

	private Optional<WaitReason> loggedReason = Optional.empty();

	private long beganNanos;

	private long reasonBeganNanos;

	private long nextLogNanos;

	/**
	 * Records the reason of the latest placement pass.
	 * @param latest the reason
	 * @param nowNanos the current monotonic time
	 */
	void record(WaitReason latest, long nowNanos) {
		if (this.reason.isEmpty()) {
			this.beganNanos = nowNanos;
			this.loggedReason = Optional.empty();
		}
		if (this.reason.filter((known) -> known == latest).isEmpty()) {
			this.reasonBeganNanos = nowNanos;
		}
		this.reason = Optional.of(latest);
	}

	void end() {
		this.reason = Optional.empty();
	}

	Optional<WaitReason> reason() {
		return this.reason;
	}

	/**
	 * Returns for how long the tasks have been waiting.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds
	 */
	long millis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.beganNanos);
	}

	/**
	 * Returns for how long the current reason has applied.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds
	 */
	long reasonMillis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.reasonBeganNanos);
	}

	/**
	 * Returns whether a line about the wait is due: the first one, one about a reason
	 * that has applied for a while, or the repetition of the last one.
	 * @param minReasonMillis for how long a new reason has to apply, milliseconds
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if so
	 */
	boolean isLogDue(long minReasonMillis, long nowNanos) {
		boolean isNewReason = !this.reason.equals(this.loggedReason) && reasonMillis(nowNanos) >= minReasonMillis;
		return this.loggedReason.isEmpty() || isNewReason || nowNanos - this.nextLogNanos >= 0;
	}

	/**
	 * Records that the current reason is logged.
	 * @param repetitionNanos monotonic time at which the line is to be repeated
	 */
	void markLogged(long repetitionNanos) {
		this.loggedReason = this.reason;
		this.nextLogNanos = repetitionNanos;
	}

}
