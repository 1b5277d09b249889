package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Objects;

/**
 * A job as a caller handed it in. Immutable.
 *
 * @param id chosen by the caller; the same id is the same job
 * @param policy the queue's policy when the job was accepted
 * @param spec text for the workers, passed on unread
 * @param steps the steps, numbered from 0
 * @param timetable when the job's occurrences are due
 * @param acceptedMillis when the job arrived, epoch milliseconds of the host that took it
 */
public record Submission(String id, QueuePolicy policy, String spec, List<StepSpec> steps, Timetable timetable,
		long acceptedMillis) {

	/**
	 * Most tasks of a job, over all its occurrences. Its progress is one row of 48 KB, in
	 * which a task that is done takes six bytes.
	 */
	public static final int MAX_TASKS = 8000;

	public Submission {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(policy, "policy");
		Objects.requireNonNull(spec, "spec");
		Objects.requireNonNull(timetable, "timetable");
		steps = List.copyOf(steps);
		for (int i = 0; i < steps.size(); i++) {
			int step = i;
			if (steps.get(i).dependsOn().stream().anyMatch((earlier) -> earlier < 0 || earlier >= step)) {
				throw new IllegalArgumentException("step " + step + " depends on a step that is not before it");
			}
		}
		long tasks = steps.stream().mapToLong(StepSpec::count).sum();
		if (tasks * timetable.occurrences() > MAX_TASKS) {
			throw new IllegalArgumentException("more than " + MAX_TASKS + " tasks");
		}
		if (steps.isEmpty()) {
			throw new IllegalArgumentException("a job needs at least one step");
		}
	}

	/**
	 * When an occurrence may begin.
	 * @param occurrence its number
	 * @return epoch milliseconds
	 */
	public long dueMillis(int occurrence) {
		return Math.max(this.acceptedMillis, this.timetable.dueMillis(occurrence));
	}

	/**
	 * When an occurrence has to be done to count as in time: the longest chain of
	 * declared run times, stretched by the queue's slack, and the queue's target.
	 * @param occurrence its number
	 * @return epoch milliseconds
	 */
	public long deadlineMillis(int occurrence) {
		return dueMillis(occurrence) + (long) (this.policy.slackFactor() * criticalPathMillis(0))
				+ this.policy.targetMillis();
	}

	/**
	 * Longest chain of declared run times.
	 * @param firstStep the step from which the chain is counted
	 * @return milliseconds
	 */
	public long criticalPathMillis(int firstStep) {
		long[] ends = new long[this.steps.size()];
		long longest = 0;
		for (int i = firstStep; i < ends.length; i++) {
			StepSpec step = this.steps.get(i);
			long begin = step.dependsOn().stream().mapToLong((earlier) -> ends[earlier]).max().orElse(0);
			ends[i] = begin + step.estimateMillis();
			longest = Math.max(longest, ends[i]);
		}
		return longest;
	}

}
