package org.monsoonrelay.logic.pool;

/**
 * Orders steps by class, then by latest start. Long-running steps come first: they have
 * no deadline and count for every second in which their tasks run. Steps that can still
 * meet their deadline follow, then late steps, and last steps that are too late to be
 * worth anything. Designed for loads that fill the pool: serving late steps first would
 * make all steps late, and long-running tasks would never be restarted if their age made
 * them late. Stateless.
 */
final class LeastSlackOrder implements QueueOrder {

	/**
	 * A step can still meet its deadline if this share of its declared run time fits
	 * before it; declared run times are off by up to half.
	 */
	private static final double MIN_RUN_TIME_SHARE = 0.6;

	/** A job that takes longer than this many times its allowed time is worth nothing. */
	private static final int MAX_LATENESS_FACTOR = 3;

	private static final int LATENESS_CLASSES = 3;

	@Override
	public QueuePosition positionOf(QueueEntry entry, long nowMillis) {
		int lateness = latenessClass(entry, nowMillis);
		int precedence = entry.step().spec().longRunning() ? lateness : LATENESS_CLASSES + lateness;
		return new QueuePosition(precedence, entry.latestStartMillis(), entry.step().key());
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
