package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Map;

/**
 * Durable part of a step's progress. Immutable.
 *
 * @param done numbers of the tasks that are done
 * @param failures failed runs by task
 * @param lastFailed highest attempt that was counted as failed, by task
 * @param checkpoints saved progress by task
 * @param highestAttempt highest attempt that ended
 */
public record StepRecord(List<Integer> done, Map<Integer, Integer> failures, Map<Integer, Integer> lastFailed,
		Map<Integer, String> checkpoints, int highestAttempt) {

	public StepRecord {
		done = List.copyOf(done);
		failures = Map.copyOf(failures);
		lastFailed = Map.copyOf(lastFailed);
		checkpoints = Map.copyOf(checkpoints);
	}

}
