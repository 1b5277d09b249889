package org.monsoonrelay.logic.interference;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Estimates which images slow which others down. Designed for pools where a few images
 * out of many disturb others, where the disturbance changes within a minute, and where
 * declared run times are inaccurate. An image that is not known, or that is seen too
 * seldom, slows nobody. Invariant: what believed neighbours explain is not held against
 * others. Not thread-safe: confined to the control thread.
 */
final class InterferenceModel {

	/** Time in which an observation loses half of its weight, nanoseconds. */
	static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(20);

	/** Images beyond which the one observed longest ago is forgotten. */
	private static final int MAX_IMAGES = 64;

	/** Interval between judgements of beliefs that get no observations, nanoseconds. */
	private static final long REVIEW_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<String, Victim> victims = new LinkedHashMap<>(MAX_IMAGES, 0.75F, true);

	private final DecisionLog log;

	private int believedPairs;

	private long reviewedNanos;

	InterferenceModel(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Records how a task fared beside its neighbours.
	 * @param image the image of the task
	 * @param ratio natural logarithm of actual over expected
	 * @param share weight of the observation, at most 1
	 * @param neighbours the images beside it
	 * @param worker the worker
	 * @param nowNanos the current monotonic time
	 */
	void observe(String image, double ratio, double share, Set<String> neighbours, String worker, long nowNanos) {
		Victim victim = this.victims.computeIfAbsent(image, (key) -> new Victim(nowNanos));
		victim.observe(ratio, share, neighbours, worker, nowNanos);
		judge(image, victim, nowNanos);
		if (this.victims.size() > MAX_IMAGES) {
			Iterator<Victim> eldest = this.victims.values().iterator();
			this.believedPairs -= (int) eldest.next().effects.values().stream().filter(PairEffect::isBelieved).count();
			eldest.remove();
		}
	}

	private void judge(String image, Victim victim, long nowNanos) {
		victim.effects.forEach((neighbour, effect) -> {
			if (effect.judge(victim.all, nowNanos)) {
				this.believedPairs += effect.isBelieved() ? 1 : -1;
				int percent = (int) Math.round(100 * Math.expm1(effect.effect()));
				this.log.write(effect.isBelieved()
						? new PoolDecision.InterferenceSuspected(image, neighbour, percent,
								Math.round(effect.observations(nowNanos)), effect.workerCount())
						: new PoolDecision.InterferenceEnded(image, neighbour, percent,
								Math.round(effect.observations(nowNanos))));
			}
		});
	}

	/**
	 * Ends beliefs that no observation has supported for long.
	 * @param nowNanos the current monotonic time
	 */
	void review(long nowNanos) {
		if (this.believedPairs > 0 && nowNanos - this.reviewedNanos >= REVIEW_NANOS) {
			this.reviewedNanos = nowNanos;
			this.victims.forEach((image, victim) -> judge(image, victim, nowNanos));
		}
	}

	/**
	 * Returns by how much an image is believed to slow another one.
	 * @param image the image that is slowed
	 * @param neighbour the image beside it
	 * @return the natural logarithm of the factor, 0 if none is believed
	 */
	double slowdown(String image, String neighbour) {
		if (this.believedPairs == 0) {
			return 0;
		}
		Victim victim = this.victims.get(image);
		PairEffect effect = (victim != null) ? victim.effects.get(neighbour) : null;
		return (effect != null) ? effect.believedEffect() : 0;
	}

	boolean hasBeliefs() {
		return this.believedPairs > 0;
	}

	private static final class Victim {

		// What is left to explain of each observation.
		private final DecayedMean all;

		private final Map<String, PairEffect> effects = new HashMap<>();

		Victim(long nowNanos) {
			this.all = new DecayedMean(HALF_LIFE_NANOS, nowNanos);
		}

		void observe(double ratio, double share, Set<String> neighbours, String worker, long nowNanos) {
			double remainder = ratio;
			for (String neighbour : neighbours) {
				PairEffect known = this.effects.get(neighbour);
				remainder -= (known != null) ? known.believedEffect() : 0;
			}
			this.all.add(remainder, share, nowNanos);
			for (String neighbour : neighbours) {
				if (this.effects.size() < MAX_IMAGES || this.effects.containsKey(neighbour)) {
					this.effects.computeIfAbsent(neighbour, (key) -> new PairEffect(HALF_LIFE_NANOS, nowNanos))
						.add(remainder, share, worker, nowNanos);
				}
			}
			this.effects.values().removeIf((effect) -> !effect.isBelieved() && effect.observations(nowNanos) < 0.01);
		}

	}

}
