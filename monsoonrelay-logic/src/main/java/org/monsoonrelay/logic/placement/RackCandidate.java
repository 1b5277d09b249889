package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;

/**
 * A rack that a queue owner considers for a task, with the capacity estimated from the
 * last rack summary. Confined to the control thread.
 */
public interface RackCandidate {

	/**
	 * Return the name of the rack.
	 * @return the name
	 */
	String rack();

	/**
	 * Return the free capacity according to the last summary, less the choices made
	 * since.
	 * @return the sum over the workers of the rack
	 */
	Resources free();

	/**
	 * Return the total capacity of the rack.
	 * @return the sum over the workers of the rack
	 */
	Resources capacity();

	/**
	 * Return the estimated number of tasks of a size that fit. A summary holds only sums,
	 * so the free capacity is taken as evenly spread over the workers; a task cannot be
	 * split between workers.
	 * @param size the size of each task
	 * @return the number of tasks, 0 if it is uncertain that one fits
	 */
	long estimatedTaskCount(Resources size);

	/**
	 * Return whether the rack has been chosen in this round already, so that another
	 * choice needs no further message to its owner.
	 * @return {@code true} if it has been chosen in this round
	 */
	boolean isChosenThisRound();

}
