package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.workload.PolicyWeights;

/**
 * Weighted sum of the packing, waiting and control costs of a rack, with weights set by
 * the operators. Packing is the free share of the scarcest resource. Waiting stands for
 * the chance that the rack owner refuses, because summaries lag and other queue owners
 * choose the same rack; it falls with the number of tasks that still fit. Control is the
 * cost of the message to a rack that has not been chosen in this round yet. Stateless and
 * thread-safe.
 */
public final class WeightedRackPolicy implements RackPolicy {

	/**
	 * Larger than any sum of the other terms, so that the processors and memory next to
	 * free accelerators are left to tasks that need accelerators as long as another rack
	 * fits.
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
