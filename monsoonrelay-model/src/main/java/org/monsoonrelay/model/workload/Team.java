package org.monsoonrelay.model.workload;

import org.monsoonrelay.model.capacity.Resources;

/**
 * A team that shares the cell. Immutable.
 *
 * @param name the team's name
 * @param quota maximum resources that its tasks may hold at the same time
 * @param weight relative share of the team when teams compete, at least 1
 */
public record Team(String name, Resources quota, int weight) {

}
