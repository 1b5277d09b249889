package org.monsoonrelay.benchmarks.placement;

/**
 * What one design did in the model, on average a second of the second half of the run.
 *
 * @param design the design
 * @param schedulers number of schedulers
 * @param offered tasks that arrived
 * @param decisions decisions tried
 * @param started tasks started
 * @param rowsWritten rows written to the table
 * @param conflicts decisions that failed because another scheduler had the room
 * @param waiting tasks that waited at the end
 */
record OwnershipResult(OwnershipDesign design, int schedulers, double offered, double decisions, double started,
		double rowsWritten, double conflicts, long waiting) {

}
