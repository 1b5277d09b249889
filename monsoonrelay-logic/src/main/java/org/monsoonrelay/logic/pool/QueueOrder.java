package org.monsoonrelay.logic.pool;

import java.util.Comparator;

/**
 * The order in which waiting steps are offered capacity. Implementations are stateless.
 */
interface QueueOrder {

	/**
	 * Returns the order of steps; the smallest one is offered capacity first.
	 * @param nowMillis the current time, epoch milliseconds
	 * @return the comparator
	 */
	Comparator<QueueEntry> comparator(long nowMillis);

}
