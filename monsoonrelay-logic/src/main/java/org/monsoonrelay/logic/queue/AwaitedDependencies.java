package org.monsoonrelay.logic.queue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.model.workload.CellText;

/**
 * Names of workloads that other queue owners wait for. A name that no team elsewhere
 * depends on needs no word, however many workloads have finished. Not thread-safe:
 * confined to the control thread.
 */
public final class AwaitedDependencies {

	private Map<String, Set<String>> dependenciesByTeam = Map.of();

	/**
	 * Take in a text that has come into force.
	 * @param text the text
	 */
	public void update(CellText text) {
		this.dependenciesByTeam = text.dependenciesByTeam();
	}

	/**
	 * Choose the names that another owner's teams may wait for.
	 * @param ownTeams the teams whose queues are owned here
	 * @param satisfied names of own workloads that are finished or up
	 * @return those of the names that a team elsewhere depends on
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
