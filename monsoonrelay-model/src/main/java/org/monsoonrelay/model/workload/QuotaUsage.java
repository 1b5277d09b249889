package org.monsoonrelay.model.workload;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Usage of one team's quota. Invariant: no allocation raises the usage above the quota.
 * The initial usage may exceed it; then nothing is allocated. Not thread-safe: confined
 * to the control thread of the queue's owner.
 */
public final class QuotaUsage {

	private final Team team;

	private Resources used;

	public QuotaUsage(Team team, Resources used) {
		this.team = team;
		this.used = used;
	}

	/**
	 * Number of tasks of a size that the quota still allows.
	 * @param size resources that each task requires
	 * @param wanted number of requested tasks
	 * @return between 0 and the requested number
	 */
	public int allowedTasks(Resources size, int wanted) {
		if (!this.team.quota().covers(this.used)) {
			return 0;
		}
		return (int) Math.min(wanted, this.team.quota().minus(this.used).fitCount(size));
	}

	/**
	 * Allocate resources to tasks.
	 * @param size resources of each task
	 * @param tasks number of tasks
	 * @throws IllegalStateException if the allocation would exceed the quota
	 */
	public void allocate(Resources size, int tasks) {
		if (tasks > allowedTasks(size, tasks)) {
			throw new IllegalStateException("team " + this.team.name() + " would be over its quota");
		}
		this.used = this.used.plus(size.times(tasks));
	}

	/**
	 * Weighted dominant share of the team. The team with the smallest one is served next.
	 * @param cell total resources of the cell
	 * @return the largest share of any resource, divided by the team's weight
	 */
	public double weightedShare(Resources cell) {
		return this.used.dominantShareOf(cell) / Math.max(1, this.team.weight());
	}

	public Team team() {
		return this.team;
	}

	public Resources used() {
		return this.used;
	}

}
