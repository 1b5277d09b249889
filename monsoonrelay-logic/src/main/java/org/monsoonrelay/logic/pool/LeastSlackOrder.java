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
	private static final double MIN_RUN_TIME_SHARE = 0.6;

	/** After this many times its allowed time a job earns nothing any more. */
	private static final int MAX_LATENESS_FACTOR = 3;

	@Override
	public Comparator<QueueEntry> comparator(long nowMillis) {
		return Comparator.<QueueEntry, Boolean>comparing((step) -> !step.step().spec().longRunning())
			.thenComparingInt((step) -> latenessClass(step, nowMillis))
			.thenComparingLong(QueueEntry::latestStartMillis)
			.thenComparing((step) -> step.step().key().toString());
	}

	private static int latenessClass(QueueEntry step, long nowMillis) {
		double likelyEnd = nowMillis + MIN_RUN_TIME_SHARE * step.criticalPathMillis();
		if (likelyEnd <= step.deadlineMillis()) {
			return 0;
		}
		long allowed = step.deadlineMillis() - step.readyMillis();
		return (likelyEnd <= step.readyMillis() + MAX_LATENESS_FACTOR * allowed) ? 1 : 2;
	}

}
