package org.monsoonrelay.logic.queue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.model.workload.CellText;

/**
 * Selects the satisfied dependencies that other queue owners need to know about. Names
 * that no team of another owner depends on are left out, so that announcements do not
 * grow with the number of finished workloads. Not thread-safe: confined to the control
 * thread.
 */
public final class AwaitedDependencies {

	private Map<String, Set<String>> dependenciesByTeam = Map.of();

	/**
	 * Apply a new cell configuration.
	 * @param text the configuration in force
	 */
	public void update(CellText text) {
		this.dependenciesByTeam = text.dependenciesByTeam();
	}

	/**
	 * Return the satisfied dependencies that teams of other owners may wait for.
	 * @param ownTeams the teams whose queues this process owns
	 * @param satisfied names of own workloads that have finished or are up
	 * @return the names among them that a team of another owner depends on
	 */
	public Set<String> awaitedByOtherOwners(Set<String> ownTeams, Set<String> satisfied) {
		Set<String> awaited = new HashSet<>();
		this.dependenciesByTeam.forEach((team, names) -> {
			if (!ownTeams.contains(team)) {
				awaited.addAll(names);
			}
		});
		awaited.retainAll(satisfied);
		return awaited;
	}

}
