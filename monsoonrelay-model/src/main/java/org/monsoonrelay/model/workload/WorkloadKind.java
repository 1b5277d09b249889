package org.monsoonrelay.model.workload;

/**
 * Kind of a workload, which determines how its tasks are placed.
 */
public enum WorkloadKind {

	/** Long-running replicas, spread over racks and failure domains. */
	SERVICE,

	/** Independent tasks that terminate, packed onto few workers. */
	BATCH,

	/** Tasks that have to run at the same time, placed all or none. */
	GANG

}
