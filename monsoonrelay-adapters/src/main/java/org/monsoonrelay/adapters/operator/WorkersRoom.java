package org.monsoonrelay.adapters.operator;

import java.util.Collection;

import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;

/**
 * Room of all workers whose racks' owners were heard of. Immutable.
 *
 * @param racks number of racks heard of
 * @param workers number of workers in them
 * @param capacity what the workers have
 * @param free what of it is not committed
 */
public record WorkersRoom(int racks, int workers, Resources capacity, Resources free) {

	/**
	 * Nothing heard of.
	 */
	public static final WorkersRoom NONE = new WorkersRoom(0, 0, Resources.NONE, Resources.NONE);

	/**
	 * Add up racks.
	 * @param summaries one summary a rack
	 * @return their room
	 */
	public static WorkersRoom of(Collection<RackSummary> summaries) {
		return summaries.stream()
			.map((rack) -> new WorkersRoom(1, rack.workers(), rack.capacity(), rack.free()))
			.reduce(NONE, WorkersRoom::plus);
	}

	private WorkersRoom plus(WorkersRoom other) {
		return new WorkersRoom(this.racks + other.racks, this.workers + other.workers,
				this.capacity.plus(other.capacity), this.free.plus(other.free));
	}

}
