package org.monsoonrelay.model.workload;

import org.monsoonrelay.model.capacity.Resources;

/**
 * What one team uses of its quota. Invariant: no call takes the use over the quota; use
 * that was found running may be over it, and then nothing new is granted. Not
 * thread-safe: confined to the control thread of the queue's owner.
 */
public final class QuotaUsage {

	private final Team team;

	private Resources used;

	public QuotaUsage(Team team, Resources used) {
		this.team = team;
		this.used = used;
	}

	/**
	 * How many tasks of a size the quota still allows.
	 * @param size what each task asks for
	 * @param wanted how many are wanted
	 * @return between 0 and the number wanted
	 */
	public int allowedTasks(Resources size, int wanted) {
		if (!this.team.quota().covers(this.used)) {
			return 0;
		}
		return (int) Math.min(wanted, this.team.quota().minus(this.used).fitCount(size));
	}

	/**
	 * Note that tasks hold room.
	 * @param size what each task holds
	 * @param tasks how many
	 * @throws IllegalStateException if the quota does not allow it
	 */
	public void allocate(Resources size, int tasks) {
		if (tasks > allowedTasks(size, tasks)) {
			throw new IllegalStateException("team " + this.team.name() + " would be over its quota");
		}
		this.used = this.used.plus(size.times(tasks));
	}

	/**
	 * The team's use against its weight: the next room goes to the team with the least.
	 * @param cell what the whole cell has
	 * @return the largest share of any resource, divided by the weight
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
