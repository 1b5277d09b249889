package org.monsoonrelay.model.workload;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;

/**
 * A declared service, with replicas on workers and operations on backend servers.
 * Immutable.
 *
 * @param name name of the service
 * @param team team whose quota is used
 * @param replicas number of long-running tasks
 * @param size resources that each replica requires
 * @param dependsOn names of the workloads that it depends on
 * @param operations operations offered to callers
 * @param targets declared targets
 */
public record ServiceDeclaration(String name, String team, int replicas, Resources size, List<String> dependsOn,
		List<Operation> operations, List<Target> targets) {

	public ServiceDeclaration {
		dependsOn = (dependsOn != null) ? List.copyOf(dependsOn) : List.of();
		operations = (operations != null) ? List.copyOf(operations) : List.of();
		targets = (targets != null) ? List.copyOf(targets) : List.of();
	}

	/**
	 * Convert the declaration to the form that placement uses.
	 * @return the workload
	 */
	public Workload workload() {
		return new Workload(new JobId(this.name, JobId.SERVICE_RUN), WorkloadKind.SERVICE, this.team, this.replicas,
				this.size, 0, false, false, this.dependsOn, this.targets);
	}

}
