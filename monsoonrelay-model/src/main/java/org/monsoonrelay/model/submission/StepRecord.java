package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Map;

/**
 * Durable form of a step's progress. Immutable.
 *
 * @param done numbers of the completed tasks
 * @param failedAttempts failed attempts by task; in records of earlier releases also of
 * long-running tasks
 * @param checkpoints checkpoints by task
 * @param highestAttempt highest number of an attempt that ended
 * @param crashes crashed workers by task; absent from records of earlier releases
 * @param failures failures of long-running tasks; absent from records of earlier releases
 */
public record StepRecord(List<Integer> done, Map<Integer, List<Integer>> failedAttempts,
		Map<Integer, String> checkpoints, int highestAttempt, Map<Integer, TaskCrashes> crashes,
		Map<Integer, FailureCount> failures) {

	/** Nothing has ended. */
	static final StepRecord NONE = new StepRecord(List.of(), Map.of(), Map.of(), 0, Map.of(), Map.of());

	public StepRecord {
		if (done.stream().anyMatch((index) -> index < 0)) {
			throw new IllegalArgumentException("not tasks: " + done);
		}
		done = List.copyOf(done);
		failedAttempts.values().forEach(List::copyOf);
		failedAttempts = Map.copyOf(failedAttempts);
		checkpoints = Map.copyOf(checkpoints);
		crashes = (crashes != null) ? Map.copyOf(crashes) : Map.of();
		failures = (failures != null) ? Map.copyOf(failures) : Map.of();
	}

	/**
	 * Number of failures that this record tells beyond another one of the same step.
	 * @param known the other record
	 * @return the number, without failures of tasks that are completed there
	 */
	int failuresBeyond(StepRecord known) {
		int beyond = 0;
		for (Map.Entry<Integer, List<Integer>> failed : this.failedAttempts.entrySet()) {
			int task = failed.getKey();
			List<Integer> counted = known.failedAttempts.getOrDefault(task, List.of());
			if (!known.done.contains(task)) {
				beyond += (int) failed.getValue()
					.stream()
					.filter((attempt) -> !counted.contains(attempt) && !known.failureCount(task).includes(attempt))
					.count();
			}
		}
		for (Map.Entry<Integer, FailureCount> failed : this.failures.entrySet()) {
			int listed = known.failedAttempts.getOrDefault(failed.getKey(), List.of()).size();
			beyond += Math.max(0, failed.getValue().count() - known.failureCount(failed.getKey()).count() - listed);
		}
		return beyond;
	}

	private FailureCount failureCount(int task) {
		return this.failures.getOrDefault(task, FailureCount.NONE);
	}

}
