package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Map;

/**
 * Durable part of a step's progress. Immutable.
 *
 * @param done numbers of the tasks that are done
 * @param failedAttempts attempts that failed, by task
 * @param checkpoints saved progress by task
 * @param highestAttempt highest attempt that ended
 */
public record StepRecord(List<Integer> done, Map<Integer, List<Integer>> failedAttempts,
		Map<Integer, String> checkpoints, int highestAttempt) {

	public StepRecord {
		if (done.stream().anyMatch((index) -> index < 0)) {
			throw new IllegalArgumentException("not tasks: " + done);
		}
		done = List.copyOf(done);
		failedAttempts.values().forEach(List::copyOf);
		failedAttempts = Map.copyOf(failedAttempts);
		checkpoints = Map.copyOf(checkpoints);
	}

}
