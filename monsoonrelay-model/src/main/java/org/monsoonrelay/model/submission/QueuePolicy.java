package org.monsoonrelay.model.submission;

import java.util.Objects;

/**
 * Scheduling policy for the jobs of a queue. Immutable.
 *
 * @param queue name of the queue
 * @param service service whose workers run the tasks
 * @param priority priority of the queue, 0 is the highest
 * @param maximumAttempts number of failed runs of a task after which the job has failed
 * @param slackFactor time allowed for a job, as a multiple of its critical path
 * @param targetMillis time allowed in addition, milliseconds
 * @param eligibility duration of eligibility requests, {@code null} if all workers are
 * eligible
 */
public record QueuePolicy(String queue, String service, int priority, int maximumAttempts, double slackFactor,
		long targetMillis, EligibilityTimes eligibility) {

	public QueuePolicy {
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(service, "service");
	}

	/**
	 * Whether eligibility requests are required before a step can be placed.
	 * @return {@code true} if only some workers may be eligible for a step
	 */
	public boolean needsEligibility() {
		return this.eligibility != null;
	}

}
