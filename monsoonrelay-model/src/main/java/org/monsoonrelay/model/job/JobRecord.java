package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.List;

/**
 * Durable form of a job's progress, stored as one row per job. Immutable.
 *
 * @param queueEpoch epoch of the queue owner that wrote the record
 * @param writeId identity of the write, by which a writer that got no answer recognizes
 * its own write when it reads the row back
 * @param hostsVersion version of the host list known to the writer; a worker that is
 * missing from an older list must not be considered removed
 * @param tasks the tasks that have left their initial state
 * @param finishedAt when the queue's owner detected that all tasks had finished,
 * {@code null} before
 */
public record JobRecord(long queueEpoch, String writeId, long hostsVersion, List<TaskRecord> tasks,
		Instant finishedAt) {

	/**
	 * Record of a job without progress.
	 */
	public static final JobRecord NONE = new JobRecord(0, "", 0, List.of(), null);

	public JobRecord {
		tasks = List.copyOf(tasks);
	}

}
