package org.monsoonrelay.model.workload;

/**
 * How the tasks of a workload belong together.
 */
public enum WorkloadKind {

	/** Long-running replicas, spread over racks and failure domains. */
	SERVICE,

	/** Independent tasks that end, packed. */
	BATCH,

	/** Tasks that need each other at once, placed all or none. */
	GANG

}
