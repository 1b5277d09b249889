package org.monsoonrelay.logic.placement;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Summary of a rack that its owner publishes to queue owners. It lags behind the state of
 * the rack. Immutable.
 *
 * @param rack the rack
 * @param failureDomain the failure domain of the rack
 * @param epoch the epoch of the rack's ownership
 * @param workers number of workers that accept new tasks
 * @param capacity total capacity of these workers
 * @param free total free capacity of these workers
 * @param largestProcessors the largest number of free processors on one worker
 * @param settled whether all workers have reported to the present owner
 */
public record RackSummary(String rack, String failureDomain, long epoch, int workers, Resources capacity,
		Resources free, int largestProcessors, boolean settled) {

}
