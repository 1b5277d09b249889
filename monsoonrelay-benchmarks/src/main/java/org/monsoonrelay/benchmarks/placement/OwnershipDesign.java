package org.monsoonrelay.benchmarks.placement;

/**
 * Ways to divide a cell among schedulers.
 */
enum OwnershipDesign {

	/**
	 * Each rack has an owner that decides from memory; queue owners choose racks from
	 * summaries that are up to a second old.
	 */
	OWNER_A_RACK,

	/**
	 * Every scheduler places on the whole cell and claims racks by conditional writes.
	 */
	CONDITIONAL_COMMITS,

	/** Each scheduler has fixed racks and fixed teams. */
	STATIC_SPLIT

}
