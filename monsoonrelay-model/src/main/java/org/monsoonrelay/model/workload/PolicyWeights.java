package org.monsoonrelay.model.workload;

/**
 * How much an operator values each measure against the others. Immutable.
 *
 * @param waiting weight of waiting time
 * @param packing weight of packing
 * @param controlCost weight of control cost
 */
public record PolicyWeights(int waiting, int packing, int controlCost) {

	/**
	 * All measures alike.
	 */
	public static final PolicyWeights EQUAL = new PolicyWeights(1, 1, 1);

}
