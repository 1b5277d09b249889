package org.monsoonrelay.logic.rows;

import java.util.Objects;

import org.monsoonrelay.model.submission.TaskCrashes;

/**
 * Tasks of a job that have the same crash record. Immutable.
 *
 * @param crashes the record of each of them
 * @param tasks their numbers, as {@link TaskSetCodec} writes them
 */
public record CrashedTasks(TaskCrashes crashes, String tasks) {

	public CrashedTasks {
		Objects.requireNonNull(crashes, "crashes");
		Objects.requireNonNull(tasks, "tasks");
	}

}
