package org.monsoonrelay.model.workload;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;

/**
 * A declared batch run or gang job. Immutable.
 *
 * @param name name of the workload
 * @param run label of this run; a new label declares a new run
 * @param team team whose quota is used
 * @param tasks number of tasks
 * @param size resources that each task requires
 * @param runMillis declared run time of a task in milliseconds
 * @param once whether the tasks are run-once tasks, which must not run twice
 * @param urgent whether it is placed before other work
 * @param dependsOn names of the workloads that it depends on
 * @param targets declared targets
 */
public record RunDeclaration(String name, String run, String team, int tasks, Resources size, long runMillis,
		boolean once, boolean urgent, List<String> dependsOn, List<Target> targets) {

	public RunDeclaration {
		dependsOn = (dependsOn != null) ? List.copyOf(dependsOn) : List.of();
		targets = (targets != null) ? List.copyOf(targets) : List.of();
	}

	/**
	 * Convert the declaration to the form that placement uses.
	 * @param kind kind of the workload, batch or gang
	 * @return the workload
	 */
	public Workload workload(WorkloadKind kind) {
		return new Workload(new JobId(this.name, this.run), kind, this.team, this.tasks, this.size, this.runMillis,
				this.once, this.urgent, this.dependsOn, this.targets);
	}

}
