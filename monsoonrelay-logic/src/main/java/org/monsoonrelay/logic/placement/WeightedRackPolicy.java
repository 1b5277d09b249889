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
	private static final double STRANDED_ACCELERATORS_COST = 1_000;

	private static final double MESSAGE_COST = 0.05;

	private final PolicyWeights weights;

	public WeightedRackPolicy(PolicyWeights weights) {
		this.weights = weights;
	}

	@Override
	public double cost(RackCandidate rack, Resources size) {
		double packingCost = rack.free().smallestShareOf(rack.capacity());
		double waitingCost = 1.0 / (1 + rack.estimatedTaskCount(size));
		double controlCost = rack.isChosenThisRound() ? 0 : MESSAGE_COST;
		double strandedCost = rack.free().wouldStrandAccelerators(size, rack.capacity()) ? STRANDED_ACCELERATORS_COST
				: 0;
		return this.weights.packing() * packingCost + this.weights.waiting() * waitingCost
				+ this.weights.controlCost() * controlCost + strandedCost;
	}

}
