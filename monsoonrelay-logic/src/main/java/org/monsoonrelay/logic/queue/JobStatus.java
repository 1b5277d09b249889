package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * What operators read of a job. Immutable.
 *
 * @param id the job
 * @param kind how its tasks belong together
 * @param team its team
 * @param declared number of declared tasks
 * @param counts number of tasks in each state
 * @param waitReason why tasks wait
 * @param tasks the tasks
 * @param finishedAt when the queue's owner learnt that all tasks had finished,
 * {@code null} before
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
