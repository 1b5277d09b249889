package org.monsoonrelay.model.workload;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;

/**
 * One declared workload in the form that placement works on. Immutable.
 *
 * @param id its identity
 * @param kind how its tasks belong together
 * @param team the team it counts against
 * @param tasks number of tasks
 * @param size what each task asks for
 * @param runMillis declared run time of a task in milliseconds, 0 for services
 * @param once whether a task may be started at most once at a time, attempt recorded
 * before the start
 * @param urgent whether it goes before other work
 * @param dependsOn names of the workloads that have to be finished, or up, before
 * @param targets declared targets
 */
public record Workload(JobId id, WorkloadKind kind, String team, int tasks, Resources size, long runMillis,
		boolean once, boolean urgent, List<String> dependsOn, List<Target> targets) {

	public Workload {
		dependsOn = List.copyOf(dependsOn);
		targets = List.copyOf(targets);
	}

}
