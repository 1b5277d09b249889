package org.monsoonrelay.model.submission;

import java.util.List;
import java.util.Objects;

/**
 * A job as submitted by a caller. Immutable.
 *
 * @param id id chosen by the caller; submissions with the same id are the same job
 * @param policy policy of the queue at the time the job was accepted
 * @param spec opaque text that is passed on to the workers
 * @param steps the steps, numbered from 0
 * @param timetable when the occurrences of the job are due
 * @param acceptedMillis when the job was accepted, in epoch milliseconds of the accepting
 * host's clock
 * @param customer name of the customer whose key came with the job, empty if none was
 * required; it holds for as long as the job exists, whatever becomes of the key
 */
public record Submission(String id, QueuePolicy policy, String spec, List<StepSpec> steps, Timetable timetable,
		long acceptedMillis, String customer) {

	/**
	 * Maximum number of tasks of a job over all occurrences. The progress of a job is
	 * stored in one row, and a new owner of the pool reads the rows of all jobs.
	 */
	public static final int MAX_TASKS = 8000;

	public Submission {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(policy, "policy");
		Objects.requireNonNull(spec, "spec");
		Objects.requireNonNull(timetable, "timetable");
		steps = List.copyOf(steps);
		// Rows of earlier releases have no customer.
		customer = (customer != null) ? customer : "";
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
	 * Creates a submission without a customer.
	 * @param id id chosen by the caller
	 * @param policy policy of the queue
	 * @param spec opaque text for the workers
	 * @param steps the steps, numbered from 0
	 * @param timetable when the occurrences of the job are due
	 * @param acceptedMillis when the job was accepted, epoch milliseconds
	 */
	public Submission(String id, QueuePolicy policy, String spec, List<StepSpec> steps, Timetable timetable,
			long acceptedMillis) {
		this(id, policy, spec, steps, timetable, acceptedMillis, "");
	}

	/**
	 * Time at which an occurrence may start.
	 * @param occurrence number of the occurrence
	 * @return epoch milliseconds
	 */
	public long dueMillis(int occurrence) {
		return Math.max(this.acceptedMillis, this.timetable.dueMillis(occurrence));
	}

	/**
	 * Deadline of an occurrence: the critical path multiplied by the slack factor of the
	 * queue, plus the target time of the queue.
	 * @param occurrence number of the occurrence
	 * @return epoch milliseconds
	 */
	public long deadlineMillis(int occurrence) {
		return dueMillis(occurrence) + (long) (this.policy.slackFactor() * criticalPathMillis(0))
				+ this.policy.targetMillis();
	}

	/**
	 * Length of the critical path: the longest chain of declared run times.
	 * @param firstStep number of the first step that is included
	 * @return length in milliseconds
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
