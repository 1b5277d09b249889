package org.monsoonrelay.logic.pool;

import java.util.Comparator;

/**
 * Long-running steps come first: they have no end to be in time for, and earn each second
 * that their tasks are at work. Then come steps that can still be in time, the one that
 * has to start soonest before the others; steps that are late follow, those that are
 * hopelessly late last. Answers loads that fill the pool, where serving late work first
 * would make all work late, and where long-running tasks would never be restarted if
 * their age made them late. Stateless.
 */
final class LeastSlackOrder implements QueueOrder {

	/**
	 * Share of the declared run time that has to fit before the deadline for a step to
	 * count as in time; declared times are off by half.
	 */
	private static final double LIKELY_SHARE = 0.6;

	/** After this many times its allowed time a job earns nothing any more. */
	private static final int WORTHLESS_AFTER = 3;

	@Override
	public Comparator<WaitingStep> at(long nowMillis) {
		return Comparator.<WaitingStep, Boolean>comparing((step) -> !step.step().spec().longRunning())
			.thenComparingInt((step) -> lateness(step, nowMillis))
			.thenComparingLong(WaitingStep::latestStartMillis)
			.thenComparing((step) -> step.step().key().toString());
	}

	private static int lateness(WaitingStep step, long nowMillis) {
		double likelyEnd = nowMillis + LIKELY_SHARE * step.chainMillis();
		if (likelyEnd <= step.deadlineMillis()) {
			return 0;
		}
		long allowed = step.deadlineMillis() - step.acceptedMillis();
		return (likelyEnd <= step.acceptedMillis() + WORTHLESS_AFTER * allowed) ? 1 : 2;
	}

}
