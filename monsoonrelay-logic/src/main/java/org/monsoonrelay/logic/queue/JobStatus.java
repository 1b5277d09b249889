package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Status of a job as shown to operators. Immutable.
 *
 * @param id the job
 * @param kind whether the job is a service, a batch or a gang
 * @param team the team it belongs to
 * @param declared number of declared tasks
 * @param counts number of tasks in each state
 * @param waitReason why tasks of the job wait
 * @param tasks records of the tasks
 * @param finishedAt when the queue owner learned that all tasks had finished,
 * {@code null} until then
 */
public record JobStatus(JobId id, WorkloadKind kind, String team, int declared, Map<TaskState, Integer> counts,
		WaitReason waitReason, List<TaskRecord> tasks, Instant finishedAt) {

	public JobStatus {
		counts = Map.copyOf(counts);
		tasks = List.copyOf(tasks);
	}

	public JobStatus(JobId id, WorkloadKind kind, String team, int declared, Map<TaskState, Integer> counts,
			WaitReason waitReason, List<TaskRecord> tasks) {
		this(id, kind, team, declared, counts, waitReason, tasks, null);
	}

}
