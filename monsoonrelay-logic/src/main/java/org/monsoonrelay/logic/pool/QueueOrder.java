package org.monsoonrelay.logic.pool;

import java.util.Comparator;

/**
 * The order in which waiting steps are offered capacity. Invariant: the position of a
 * step never becomes smaller as time passes. Implementations are stateless.
 */
interface QueueOrder {

	/**
	 * Returns the position of a step.
	 * @param entry the step
	 * @param nowMillis the current time, epoch milliseconds
	 * @return the position
	 */
	QueuePosition positionOf(QueueEntry entry, long nowMillis);

	/**
	 * Returns the order of steps; the smallest one is offered capacity first.
	 * @param nowMillis the current time, epoch milliseconds
	 * @return the comparator
	 */
	default Comparator<QueueEntry> comparator(long nowMillis) {
		return Comparator.comparing((entry) -> positionOf(entry, nowMillis));
	}

}
