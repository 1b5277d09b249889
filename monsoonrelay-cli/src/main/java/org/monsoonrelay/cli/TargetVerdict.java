package org.monsoonrelay.cli;

/**
 * How one declared target stands. Immutable.
 *
 * @param workload the workload that declares it
 * @param target the target's name
 * @param verdict how it stands
 * @param penaltyCents what a miss costs, in cents
 * @param detail what the verdict rests on
 */
record TargetVerdict(String workload, String target, Verdict verdict, long penaltyCents, String detail) {

	/**
	 * The ways a target can stand.
	 */
	enum Verdict {

		/** Measured and kept. */
		MET,

		/** Measured and not kept. */
		MISSED,

		/** Not decided yet, or not measured. */
		UNKNOWN

	}

}
