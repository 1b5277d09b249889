package org.monsoonrelay.logic.speeds;

import org.monsoonrelay.logic.pool.PoolClock;
import org.monsoonrelay.logic.pool.WaitingTask;
import org.monsoonrelay.logic.pool.WorkerPreference;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;

/**
 * Prefers fast workers for tasks that would be late on slow ones, and leaves fast workers
 * to these for all other tasks. Designed for pools whose workers differ in speed by a
 * factor of two, with urgent tasks that allow little more than their run time. While all
 * workers count as equal, none is preferred. Not thread-safe: confined to the control
 * thread.
 */
public final class SpeedPreference implements WorkerPreference {

	/**
	 * Multiple of the likely run time that has to fit before the deadline, so that a slow
	 * worker counts as fast enough.
	 */
	private static final double MARGIN = 1.3;

	/** Share of the likely run time that has to fit before the deadline. */
	private static final double MIN_RUN_TIME_SHARE = 0.6;

	private final WorkerSpeeds speeds;

	private final PoolClock clock;

	private Need need = Need.NONE;

	private long nowNanos;

	/**
	 * Creates the preference.
	 * @param speeds knows the speed of the workers
	 * @param clock the clocks
	 */
	public SpeedPreference(WorkerSpeeds speeds, PoolClock clock) {
		this.speeds = speeds;
		this.clock = clock;
	}

	@Override
	public void beginSelection(WaitingTask task) {
		this.need = this.speeds.areUneven() ? needOf(task) : Need.NONE;
		this.nowNanos = this.clock.nanos();
	}

	private Need needOf(WaitingTask task) {
		if (task.step().longRunning()) {
			return Need.MOVING;
		}
		long remainingMillis = task.deadlineMillis() - this.clock.millis();
		boolean isLateOnSlow = remainingMillis < MARGIN
				* this.speeds.slowMillis(task.queue(), task.step().count(), task.pathMillis());
		boolean isLateOnFast = remainingMillis < MIN_RUN_TIME_SHARE
				* this.speeds.fastMillis(task.queue(), task.pathMillis());
		return (isLateOnSlow && !isLateOnFast) ? Need.FAST : Need.SLOW;
	}

	@Override
	public int penalty(StepKey key, StepSpec step, String worker) {
		if (this.need == Need.NONE) {
			return 0;
		}
		SpeedClass speed = this.speeds.speedClass(worker);
		if (speed == SpeedClass.STALLED) {
			boolean isProbe = this.need == Need.SLOW && !step.gang() && this.speeds.isProbeDue(worker, this.nowNanos);
			return isProbe ? 0 : SpeedClass.STALLED.ordinal();
		}
		return switch (this.need) {
			case FAST -> speed.ordinal();
			case SLOW -> SpeedClass.SLOW.ordinal() - speed.ordinal();
			default -> 0;
		};
	}

	/** What a task needs of its worker. */
	private enum Need {

		/** Nothing. */
		NONE,

		/** A worker that is not stalled. */
		MOVING,

		/** A fast worker. */
		FAST,

		/** Any worker, so that it leaves the fast ones to others. */
		SLOW

	}

}
