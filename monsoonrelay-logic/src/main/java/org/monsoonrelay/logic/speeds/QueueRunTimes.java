package org.monsoonrelay.logic.speeds;

import java.util.OptionalDouble;

/**
 * The run times of a queue's tasks as multiples of the declared ones, on a worker that
 * neither is fast nor slow. Not thread-safe.
 */
final class QueueRunTimes {

	/** Ended tasks from which on the queue's run times are used. */
	private static final int MIN_TASKS = 30;

	/**
	 * Half the distance of the quartiles up to which a single task tells something about
	 * its worker.
	 */
	private static final double MAX_SPREAD = 0.3;

	private final RatioHistogram ratios = new RatioHistogram();

	private double median;

	private boolean precise;

	void add(double logRatio) {
		this.ratios.add(logRatio);
		this.median = this.ratios.quantile(0.5);
		this.precise = this.ratios.totalWeight() >= MIN_TASKS
				&& this.ratios.quantile(0.75) - this.ratios.quantile(0.25) <= 2 * MAX_SPREAD;
	}

	/**
	 * Returns what is expected of any task, if declared run times are precise enough to
	 * judge a worker by.
	 * @return logarithm of the multiple, empty if they are not
	 */
	OptionalDouble expected() {
		return this.precise ? OptionalDouble.of(this.median) : OptionalDouble.empty();
	}

	/**
	 * Returns a quantile of the multiples.
	 * @param share share of the tasks that take at most as long, 0 to 1
	 * @return logarithm of the multiple, 0 while too few tasks have ended
	 */
	double quantile(double share) {
		return (this.ratios.totalWeight() >= MIN_TASKS) ? this.ratios.quantile(share) : 0;
	}

	double median() {
		return (this.ratios.totalWeight() >= MIN_TASKS) ? this.median : 0;
	}

}
