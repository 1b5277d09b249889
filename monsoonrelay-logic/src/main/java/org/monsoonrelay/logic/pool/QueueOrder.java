package org.monsoonrelay.logic.pool;

import java.util.Comparator;

/**
 * The order in which waiting steps are offered room. Implementations are stateless.
 */
interface QueueOrder {

	/**
	 * Compare steps; the smaller one is offered room first.
	 * @param nowMillis the time of day
	 * @return the comparator
	 */
	Comparator<QueueEntry> comparator(long nowMillis);

}
