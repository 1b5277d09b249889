package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;

/**
 * What a rack's owner publishes for queue owners to sample. Immutable; always a little
 * old.
 *
 * @param rack the rack
 * @param failureDomain the failure domain it stands in
 * @param epoch epoch of the rack's ownership
 * @param workers number of workers that take new work
 * @param capacity sum of the capacity of these workers
 * @param free sum of what is free on them
 * @param largestProcessors the most processors that are free on one worker
 * @param settled whether all workers have reported under this ownership
 */
public record RackSummary(String rack, String failureDomain, long epoch, int workers, Resources capacity,
		Resources free, int largestProcessors, boolean settled) {

}
