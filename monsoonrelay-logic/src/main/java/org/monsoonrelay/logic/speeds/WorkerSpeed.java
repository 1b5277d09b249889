package org.monsoonrelay.logic.speeds;

import java.util.Arrays;

/**
 * The latest run times of one incarnation of a worker, relative to those expected of any
 * worker, and its class. Invariant: a class other than {@link SpeedClass#USUAL} is
 * entered only if nearly all samples agree on the side, so that neither a tail of long
 * tasks nor noise within the dead band decides. Not thread-safe.
 */
final class WorkerSpeed {

	private static final int MAX_SAMPLES = 16;

	/** Samples needed for a class. */
	private static final int MIN_SAMPLES = 12;

	/** Latest samples that are looked at for a sudden change. */
	private static final int CHANGE_SAMPLES = 6;

	/** Number of these that have to agree; tails alone are never so many. */
	private static final int CHANGE_AGREEING = 5;

	private static final double CHANGE = Math.log(2);

	/** Deviation beyond which a worker is fast or slow. */
	private static final double CLASS_DEVIATION = Math.log(1.3);

	/** Deviation below which a fast or slow worker is a usual one again. */
	private static final double USUAL_DEVIATION = Math.log(1.2);

	/** Deviation that single samples must exceed to count for a class. */
	private static final double SAMPLE_DEVIATION = Math.log(1.15);

	/** Share of the samples that must do so, in eighths. */
	private static final int AGREEING_EIGHTHS = 7;

	private static final double STALLED_DEVIATION = Math.log(2.5);

	/** Deviation below which a stalled worker is only slow. */
	private static final double MOVING_DEVIATION = Math.log(2);

	private final String id;

	// In order of their arrival, the latest last.
	private double[] samples = {};

	private double[] sorted = {};

	private boolean changed;

	private int activeRuns;

	private long sampledNanos;

	private SpeedClass speedClass = SpeedClass.USUAL;

	WorkerSpeed(String id, long nowNanos) {
		this.id = id;
		this.sampledNanos = nowNanos;
	}

	/**
	 * Records a run time.
	 * @param deviation logarithm of the run time relative to the expected one
	 * @param nowNanos the current monotonic time
	 */
	void add(double deviation, long nowNanos) {
		this.sampledNanos = nowNanos;
		int kept = Math.min(this.samples.length, MAX_SAMPLES - 1);
		double[] next = Arrays.copyOfRange(this.samples, this.samples.length - kept, this.samples.length + 1);
		next[kept] = deviation;
		set(next);
		if (next.length > CHANGE_SAMPLES && hasChanged()) {
			this.changed = true;
			set(Arrays.copyOfRange(next, next.length - CHANGE_SAMPLES, next.length));
		}
	}

	private void set(double[] next) {
		this.samples = next;
		this.sorted = next.clone();
		Arrays.sort(this.sorted);
	}

	private boolean hasChanged() {
		double usual = deviation();
		int above = 0;
		int below = 0;
		for (int i = this.samples.length - CHANGE_SAMPLES; i < this.samples.length; i++) {
			above += (this.samples[i] - usual > CHANGE) ? 1 : 0;
			below += (usual - this.samples[i] > CHANGE) ? 1 : 0;
		}
		return Math.max(above, below) >= CHANGE_AGREEING;
	}

	/**
	 * Returns how much longer runs take here than on any worker.
	 * @return median of the logarithms, 0 if nothing is known
	 */
	double deviation() {
		return (this.sorted.length > 0) ? this.sorted[this.sorted.length / 2] : 0;
	}

	boolean isKnown() {
		return this.samples.length >= (this.changed ? CHANGE_SAMPLES : MIN_SAMPLES);
	}

	/**
	 * Updates the class.
	 * @param poolDeviation deviation of the pool's median worker
	 * @return {@code true} if the class is another one
	 */
	boolean updateClass(double poolDeviation) {
		SpeedClass former = this.speedClass;
		this.speedClass = nextClass(deviation() - poolDeviation, poolDeviation);
		return former != this.speedClass;
	}

	private SpeedClass nextClass(double relative, double poolDeviation) {
		if (!isKnown()) {
			return SpeedClass.USUAL;
		}
		boolean wasSlow = this.speedClass == SpeedClass.SLOW || this.speedClass == SpeedClass.STALLED;
		if (relative > CLASS_DEVIATION && (wasSlow || agreeing(1, poolDeviation))) {
			double limit = (this.speedClass == SpeedClass.STALLED) ? MOVING_DEVIATION : STALLED_DEVIATION;
			return (relative > limit) ? SpeedClass.STALLED : SpeedClass.SLOW;
		}
		if (-relative > CLASS_DEVIATION && agreeing(-1, poolDeviation)) {
			return SpeedClass.FAST;
		}
		if (wasSlow && relative > USUAL_DEVIATION) {
			return SpeedClass.SLOW;
		}
		return (this.speedClass == SpeedClass.FAST && -relative > USUAL_DEVIATION) ? SpeedClass.FAST : SpeedClass.USUAL;
	}

	private boolean agreeing(int side, double poolDeviation) {
		int count = 0;
		for (double sample : this.samples) {
			count += (side * (sample - poolDeviation) > SAMPLE_DEVIATION) ? 1 : 0;
		}
		return count >= this.samples.length * AGREEING_EIGHTHS / 8;
	}

	String id() {
		return this.id;
	}

	SpeedClass speedClass() {
		return this.speedClass;
	}

	void runStarted() {
		this.activeRuns++;
	}

	void runEnded() {
		this.activeRuns--;
	}

	/**
	 * Returns whether nothing runs here and nothing was learned for a while.
	 * @param sinceNanos monotonic time since which nothing may have been learned
	 * @return {@code true} if what is known may be outdated
	 */
	boolean isIdleSince(long sinceNanos) {
		return this.activeRuns == 0 && this.sampledNanos - sinceNanos < 0;
	}

}
