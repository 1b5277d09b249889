package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Policy that ranks the candidate racks for a task by cost. Implementations are stateless
 * or confined to the control thread.
 */
@FunctionalInterface
public interface RackPolicy {

	/**
	 * Return the cost of placing a task in a rack.
	 * @param rack the candidate rack
	 * @param size the size of the task
	 * @return the cost; the rack with the lowest cost is chosen
	 */
	double cost(RackCandidate rack, Resources size);

}
