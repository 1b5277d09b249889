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
			this.nextLogNanos = nowNanos;
		}
		if (this.reason.filter((known) -> known == latest).isEmpty()) {
			this.reasonBeganNanos = nowNanos;
			this.nextLogNanos = nowNanos;
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

	boolean isLogDue(long nowNanos) {
		return nowNanos - this.nextLogNanos >= 0;
	}

	void setNextLogNanos(long nanos) {
		this.nextLogNanos = nanos;
	}

}
