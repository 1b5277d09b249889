package org.monsoonrelay.model.workload;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;

/**
 * One declared workload in the form that placement uses. Immutable.
 *
 * @param id identity of the run
 * @param kind kind of the workload
 * @param team team whose quota is used
 * @param tasks number of tasks
 * @param size resources that each task requires
 * @param runMillis declared run time of a task in milliseconds, 0 for services
 * @param once whether the tasks are run-once tasks: at most one attempt may run at a
 * time, and an attempt is recorded before it is started
 * @param urgent whether it is placed before other work
 * @param dependsOn names of the workloads that have to be finished, or running if they
 * are services, before this one starts
 * @param targets declared targets
 */
public record Workload(JobId id, WorkloadKind kind, String team, int tasks, Resources size, long runMillis,
		boolean once, boolean urgent, List<String> dependsOn, List<Target> targets) {

	public Workload {
		dependsOn = List.copyOf(dependsOn);
		targets = List.copyOf(targets);
	}

}
