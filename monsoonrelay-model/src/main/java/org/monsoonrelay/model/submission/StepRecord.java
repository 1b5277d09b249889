package org.monsoonrelay.model.submission;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Durable form of a step's progress. Immutable.
 *
 * @param done numbers of the completed tasks
 * @param failedAttempts failed attempts by task; of long-running tasks only in records of
 * earlier releases
 * @param checkpoints checkpoints by task
 * @param highestAttempt highest number of an attempt that ended
 * @param crashes crashed workers by task; absent from records of earlier releases
 */
public record StepRecord(List<Integer> done, Map<Integer, List<Integer>> failedAttempts,
		Map<Integer, String> checkpoints, int highestAttempt, Map<Integer, TaskCrashes> crashes) {

	/** Nothing has ended. */
	static final StepRecord NONE = new StepRecord(List.of(), Map.of(), Map.of(), 0, Map.of());

	public StepRecord {
		if (done.stream().anyMatch((index) -> index < 0)) {
			throw new IllegalArgumentException("not tasks: " + done);
		}
		done = List.copyOf(done);
		failedAttempts.values().forEach(List::copyOf);
		failedAttempts = Map.copyOf(failedAttempts);
		checkpoints = Map.copyOf(checkpoints);
		crashes = (crashes != null) ? Map.copyOf(crashes) : Map.of();
	}

	/**
	 * Whether all tasks that this record names exist.
	 * @param count number of tasks of the step
	 * @return {@code true} if so
	 */
	boolean namesOnlyTasksBelow(int count) {
		return Stream.of(this.done, this.failedAttempts.keySet(), this.checkpoints.keySet(), this.crashes.keySet())
			.flatMap(Collection::stream)
			.allMatch((index) -> index >= 0 && index < count);
	}

}
