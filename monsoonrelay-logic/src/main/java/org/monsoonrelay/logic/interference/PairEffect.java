package org.monsoonrelay.logic.interference;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of one image's effect on another one. The effect is a natural logarithm:
 * 0 for none, 0.69 if the victim takes twice as long. Not thread-safe.
 */
final class PairEffect {

	/**
	 * Observations below which nothing is believed, both with and without the neighbour.
	 */
	static final double MIN_OBSERVATIONS = 8;

	/** Workers below which the cause may as well be the worker. */
	static final int MIN_WORKERS = 3;

	/** Effect below which callers notice nothing: 15%. */
	static final double MIN_EFFECT = Math.log(1.15);

	/** Standard errors below which the effect may be chance. */
	private static final double MIN_STANDARD_ERRORS = 3;

	/** Share of each threshold at which a belief ends, so that it does not flicker. */
	private static final double END_SHARE = 0.5;

	// With the neighbour: what is left to explain, and the same with its own effect.
	private final DecayedMean rest;

	private final DecayedMean own;

	private final Map<String, Long> workers = new HashMap<>();

	private final long halfLifeNanos;

	private double effect;

	private boolean believed;

	PairEffect(long halfLifeNanos, long nowNanos) {
		this.halfLifeNanos = halfLifeNanos;
		this.rest = new DecayedMean(halfLifeNanos, nowNanos);
		this.own = new DecayedMean(halfLifeNanos, nowNanos);
	}

	void add(double remainder, double share, String worker, long nowNanos) {
		this.rest.add(remainder, share, nowNanos);
		this.own.add(remainder + believedEffect(), share, nowNanos);
		this.workers.put(worker, nowNanos);
	}

	/**
	 * Decides whether the effect is believed.
	 * @param all all observations of the victim
	 * @param nowNanos the current monotonic time
	 * @return whether the belief has begun or ended
	 */
	boolean judge(DecayedMean all, long nowNanos) {
		this.workers.values().removeIf((seen) -> nowNanos - seen > 2 * this.halfLifeNanos);
		double present = this.own.weight(nowNanos);
		double absent = all.weight(nowNanos) - this.rest.weight(nowNanos);
		this.effect = this.own.mean() - all.meanWithout(this.rest, nowNanos);
		double share = this.believed ? END_SHARE : 1;
		double error = (present > 0 && absent > 0) ? Math.sqrt(all.variance() * (1 / present + 1 / absent))
				: Double.POSITIVE_INFINITY;
		boolean isSupported = Math.min(present, absent) >= share * MIN_OBSERVATIONS
				&& (this.believed || this.workers.size() >= MIN_WORKERS) && this.effect >= share * MIN_EFFECT
				&& this.effect >= share * MIN_STANDARD_ERRORS * error;
		boolean hasChanged = isSupported != this.believed;
		this.believed = isSupported;
		return hasChanged;
	}

	/**
	 * Returns by how much the victim is believed to be slowed.
	 * @return the logarithm, 0 if no effect is believed
	 */
	double believedEffect() {
		return this.believed ? this.effect : 0;
	}

	boolean isBelieved() {
		return this.believed;
	}

	double effect() {
		return this.effect;
	}

	double observations(long nowNanos) {
		return this.own.weight(nowNanos);
	}

	int workerCount() {
		return this.workers.size();
	}

}
