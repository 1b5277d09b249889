package org.monsoonrelay.logic.speeds;

/**
 * A decayed histogram of ratios, held as logarithms in buckets of equal width. The oldest
 * half of the weight fades whenever the weight reaches its maximum. Not thread-safe.
 */
final class RatioHistogram {

	/** Width of a bucket, about 5 percent. */
	private static final double BUCKET_WIDTH = 0.05;

	/** Number of buckets; they cover ratios from 1/24 to 24. */
	private static final int BUCKETS = 128;

	/** Weight at which the recorded ratios fade. */
	private static final double MAX_WEIGHT = 400;

	private final double[] weights = new double[BUCKETS];

	private double totalWeight;

	/**
	 * Records a ratio.
	 * @param logRatio its natural logarithm
	 */
	void add(double logRatio) {
		if (this.totalWeight >= MAX_WEIGHT) {
			this.totalWeight /= 2;
			for (int i = 0; i < BUCKETS; i++) {
				this.weights[i] /= 2;
			}
		}
		long bucket = Math.round(logRatio / BUCKET_WIDTH) + BUCKETS / 2;
		this.weights[(int) Math.max(0, Math.min(BUCKETS - 1, bucket))]++;
		this.totalWeight++;
	}

	double totalWeight() {
		return this.totalWeight;
	}

	/**
	 * Returns a quantile.
	 * @param share share of the recorded ratios that are at most as large, 0 to 1
	 * @return the natural logarithm of the ratio, 0 if none was recorded
	 */
	double quantile(double share) {
		if (this.totalWeight == 0) {
			return 0;
		}
		double rest = share * this.totalWeight;
		int bucket = 0;
		while (bucket < BUCKETS - 1 && rest > this.weights[bucket]) {
			rest -= this.weights[bucket];
			bucket++;
		}
		return (bucket - BUCKETS / 2) * BUCKET_WIDTH;
	}

}
