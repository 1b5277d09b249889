package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Weighs the racks that seem to have room for a task. Implementations are stateless or
 * confined to the control thread.
 */
@FunctionalInterface
public interface RackPolicy {

	/**
	 * Cost of putting a task into a rack.
	 * @param rack the rack
	 * @param size what the task asks for
	 * @return the cost; the rack with the least is chosen
	 */
	double cost(RackCandidate rack, Resources size);

}
