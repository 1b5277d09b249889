package org.monsoonrelay.model.workload;

/**
 * Relative weights of the placement objectives. Immutable.
 *
 * @param waiting weight of waiting time
 * @param packing weight of packing
 * @param controlCost weight of control cost
 */
public record PolicyWeights(int waiting, int packing, int controlCost) {

	/**
	 * Equal weights for all objectives.
	 */
	public static final PolicyWeights EQUAL = new PolicyWeights(1, 1, 1);

}
