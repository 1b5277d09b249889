package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.List;

/**
 * Durable form of a job's progress: one row a job. Immutable.
 *
 * @param queueEpoch epoch of the queue owner that wrote it
 * @param writeId identity of the write, to settle a lost answer by reading back
 * @param hostsVersion version of the host list known to the writer; a worker missing from
 * an older list is not gone
 * @param tasks the tasks that have left their first state
 * @param finishedAt when the queue's owner learnt that all tasks had finished,
 * {@code null} before
 */
public record JobRecord(long queueEpoch, String writeId, long hostsVersion, List<TaskRecord> tasks,
		Instant finishedAt) {

	/**
	 * No progress yet.
	 */
	public static final JobRecord NONE = new JobRecord(0, "", 0, List.of(), null);

	public JobRecord {
		tasks = List.copyOf(tasks);
	}

}
