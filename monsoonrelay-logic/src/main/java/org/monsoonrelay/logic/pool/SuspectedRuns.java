package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.CrashSuspicion;

/**
 * The runs on a worker whose tasks are suspected to crash it, none on most workers. Only
 * those on probation may keep other tasks waiting. Not thread-safe: confined to the
 * control thread.
 */
final class SuspectedRuns {

	private final List<Run> runs = new ArrayList<>();

	void add(Run run) {
		if (run.suspicion() != CrashSuspicion.NONE) {
			this.runs.add(run);
		}
	}

	void remove(Run run) {
		this.runs.remove(run);
	}

	/**
	 * Records that the worker answered a poll.
	 * @param sentNanos monotonic time at which the poll was sent
	 */
	void workerAnswered(long sentNanos) {
		this.runs.forEach((run) -> run.endProbationIfDue(sentNanos));
	}

	/**
	 * Returns the time until an answer of the worker may end a probation.
	 * @param nowNanos the current monotonic time
	 * @param maxMillis the result if no probation is about to end
	 * @return milliseconds
	 */
	long millisUntilProbationEnds(long nowNanos, long maxMillis) {
		return this.runs.stream()
			.filter((run) -> run.isOnProbation() && run.hasBeenConfirmed())
			.mapToLong((run) -> millisRoundedUp(run.probationEndNanos() - nowNanos))
			.reduce(maxMillis, Math::min);
	}

	private static long millisRoundedUp(long nanos) {
		return (nanos > 0) ? TimeUnit.NANOSECONDS.toMillis(nanos - 1) + 1 : 0;
	}

	boolean hasIsolatedOnProbation() {
		return any((run) -> isIsolated(run) && run.isOnProbation());
	}

	int countIsolatedOf(String job, boolean isOnProbation) {
		int count = 0;
		for (Run run : this.runs) {
			if (isIsolated(run) && run.isOnProbation() == isOnProbation && isOf(run, job)) {
				count++;
			}
		}
		return count;
	}

	boolean hasIsolatedOnProbationOfAnother(String job) {
		return any((run) -> isIsolated(run) && run.isOnProbation() && !isOf(run, job));
	}

	boolean hasIsolatedOfAnother(String job) {
		return any((run) -> isIsolated(run) && !isOf(run, job));
	}

	boolean hasAnyOnProbationOfAnother(String job) {
		return any((run) -> run.isOnProbation() && !isOf(run, job));
	}

	boolean hasAnyOfAnother(String job) {
		return any((run) -> !isOf(run, job));
	}

	private boolean any(Predicate<Run> predicate) {
		return !this.runs.isEmpty() && this.runs.stream().anyMatch(predicate);
	}

	private static boolean isIsolated(Run run) {
		return run.suspicion() == CrashSuspicion.ISOLATED;
	}

	private static boolean isOf(Run run, String job) {
		return run.task().job().equals(job);
	}

}
