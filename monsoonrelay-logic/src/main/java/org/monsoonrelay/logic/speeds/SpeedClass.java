package org.monsoonrelay.logic.speeds;

/**
 * How a worker's run times compare with those of the pool's median worker.
 */
enum SpeedClass {

	/** Clearly shorter. */
	FAST,

	/** Not clearly different, or not known. */
	USUAL,

	/** Clearly longer. */
	SLOW,

	/** So much longer that only work with slack is worth a try there. */
	STALLED

}
