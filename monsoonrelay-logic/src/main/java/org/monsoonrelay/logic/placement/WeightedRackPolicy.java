package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.workload.PolicyWeights;

/**
 * Adds what a rack costs in packing, waiting and control, by the operators' weights.
 * Packing is the free share of the scarcest resource. Waiting is the chance that the
 * rack's owner refuses, because summaries are old and others choose too; it falls with
 * the number of tasks that still fit. Control is the message to a rack that is not asked
 * in this round anyway. Stateless and thread-safe.
 */
public final class WeightedRackPolicy implements RackPolicy {

	/**
	 * More than any sum of the other terms, so that what stands beside free accelerators
	 * is left for work that asks for them as long as there is another rack.
	 */
	private static final double ACCELERATORS_STRANDED = 1_000;

	private static final double MESSAGE = 0.05;

	private final PolicyWeights weights;

	public WeightedRackPolicy(PolicyWeights weights) {
		this.weights = weights;
	}

	@Override
	public double cost(RackRoom rack, Resources size) {
		double packing = rack.free().smallestShareOf(rack.capacity());
		double waiting = 1.0 / (1 + rack.room(size));
		double control = rack.isAskedThisRound() ? 0 : MESSAGE;
		double stranded = rack.free().wouldStrandAccelerators(size, rack.capacity()) ? ACCELERATORS_STRANDED : 0;
		return this.weights.packing() * packing + this.weights.waiting() * waiting
				+ this.weights.controlCost() * control + stranded;
	}

}
