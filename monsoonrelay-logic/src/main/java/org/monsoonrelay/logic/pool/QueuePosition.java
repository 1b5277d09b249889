package org.monsoonrelay.logic.pool;

import java.util.Comparator;

import org.monsoonrelay.model.submission.StepKey;

/**
 * Position of a step among the waiting steps; the smallest one is offered capacity first.
 * Immutable.
 *
 * @param precedence class of the step, compared first
 * @param latestStartMillis its latest start, epoch milliseconds
 * @param step the step, which decides between equals
 */
record QueuePosition(int precedence, long latestStartMillis, StepKey step) implements Comparable<QueuePosition> {

	private static final Comparator<QueuePosition> ORDER = Comparator.comparingInt(QueuePosition::precedence)
		.thenComparingLong(QueuePosition::latestStartMillis)
		.thenComparing((position) -> position.step().toString());

	@Override
	public int compareTo(QueuePosition other) {
		return ORDER.compare(this, other);
	}

}
