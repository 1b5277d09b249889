package org.monsoonrelay.benchmarks.placement;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * One job of a generated day. Immutable.
 *
 * @param id its identity
 * @param label what the report counts it as
 * @param kind how its tasks belong together
 * @param arrivesMillis when it becomes ready, from the start of the day
 * @param tasks number of tasks
 * @param size what each task asks for
 * @param runMillis how long each task runs
 */
record DayJob(JobId id, DayLabel label, WorkloadKind kind, long arrivesMillis, int tasks, Resources size,
		long runMillis) {

}
