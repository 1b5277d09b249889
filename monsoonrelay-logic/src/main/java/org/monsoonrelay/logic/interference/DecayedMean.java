package org.monsoonrelay.logic.interference;

/**
 * Mean and variance of observations whose weights halve with time, so that means of the
 * same observations can be subtracted from each other. Not thread-safe.
 */
final class DecayedMean {

	private final long halfLifeNanos;

	private double weight;

	private double sum;

	private double squares;

	private long decayedNanos;

	DecayedMean(long halfLifeNanos, long nowNanos) {
		this.halfLifeNanos = halfLifeNanos;
		this.decayedNanos = nowNanos;
	}

	void add(double value, double share, long nowNanos) {
		decay(nowNanos);
		this.weight += share;
		this.sum += share * value;
		this.squares += share * value * value;
	}

	private void decay(long nowNanos) {
		double factor = Math.pow(0.5, (double) (nowNanos - this.decayedNanos) / this.halfLifeNanos);
		this.weight *= factor;
		this.sum *= factor;
		this.squares *= factor;
		this.decayedNanos = nowNanos;
	}

	/**
	 * Returns the number of observations that the mean rests on.
	 * @param nowNanos the current monotonic time
	 * @return the decayed number
	 */
	double weight(long nowNanos) {
		decay(nowNanos);
		return this.weight;
	}

	/**
	 * Returns the mean.
	 * @return the mean, 0 without observations
	 */
	double mean() {
		return (this.weight > 0) ? this.sum / this.weight : 0;
	}

	double variance() {
		return (this.weight > 0) ? Math.max(0, this.squares / this.weight - mean() * mean()) : 0;
	}

	/**
	 * Returns the mean of the observations that another mean does not contain.
	 * @param part the mean of some of these observations
	 * @param nowNanos the current monotonic time
	 * @return the mean, 0 if there are none
	 */
	double meanWithout(DecayedMean part, long nowNanos) {
		double rest = weight(nowNanos) - part.weight(nowNanos);
		return (rest > 0) ? (this.sum - part.sum) / rest : 0;
	}

}
