package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;

/**
 * What a queue owner believes of a rack while it chooses one. Belongs to the control
 * thread.
 */
public interface RackCandidate {

	/**
	 * Name of the rack.
	 * @return the name
	 */
	String rack();

	/**
	 * What is believed to be free, less what was chosen since the last summary.
	 * @return the sum over the rack's workers
	 */
	Resources free();

	/**
	 * What the rack's workers have.
	 * @return the sum over the rack's workers
	 */
	Resources capacity();

	/**
	 * How many tasks of a size are expected to fit, as far as a summary can tell: room is
	 * spread over the workers, and no task is.
	 * @param size what each task asks for
	 * @return the count, 0 if it is uncertain that one fits
	 */
	long estimatedTaskCount(Resources size);

	/**
	 * Tell whether this round asks the rack's owner for room anyway.
	 * @return {@code true} if the rack was chosen before in this round
	 */
	boolean isChosenThisRound();

}
