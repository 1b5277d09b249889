package org.monsoonrelay.model.workload;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;

/**
 * A declared batch run or all-at-once job. Immutable.
 *
 * @param name its name
 * @param run label of this run; a new label is new work
 * @param team the team it counts against
 * @param tasks number of tasks
 * @param size what each task asks for
 * @param runMillis declared run time of a task in milliseconds
 * @param once whether a task may never run twice
 * @param urgent whether it goes before other work
 * @param dependsOn names of the workloads it needs
 * @param targets declared targets
 */
public record RunDeclaration(String name, String run, String team, int tasks, Resources size, long runMillis,
		boolean once, boolean urgent, List<String> dependsOn, List<Target> targets) {

	public RunDeclaration {
		dependsOn = (dependsOn != null) ? List.copyOf(dependsOn) : List.of();
		targets = (targets != null) ? List.copyOf(targets) : List.of();
	}

	/**
	 * The form that placement works on.
	 * @param kind whether its tasks are independent or need each other
	 * @return the workload
	 */
	public Workload workload(WorkloadKind kind) {
		return new Workload(new JobId(this.name, this.run), kind, this.team, this.tasks, this.size, this.runMillis,
				this.once, this.urgent, this.dependsOn, this.targets);
	}

}
