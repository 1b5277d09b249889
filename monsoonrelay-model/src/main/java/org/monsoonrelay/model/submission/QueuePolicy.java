package org.monsoonrelay.model.submission;

import java.util.Objects;

/**
 * How the jobs of a queue are to be treated. Immutable.
 *
 * @param queue the queue's name
 * @param service the service on whose workers the tasks run
 * @param priority 0 comes first
 * @param maximumAttempts failed runs of a task after which the job has failed
 * @param slackFactor the time a job may take, in lengths of its longest chain of work
 * @param targetMillis time beyond that, milliseconds
 * @param eligibility what asking for eligible workers costs, {@code null} if all are
 */
public record QueuePolicy(String queue, String service, int priority, int maximumAttempts, double slackFactor,
		long targetMillis, EligibilityTimes eligibility) {

	public QueuePolicy {
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(service, "service");
	}

	/**
	 * Whether workers have to be asked for.
	 * @return {@code true} if only some workers may run a step
	 */
	public boolean needsEligibility() {
		return this.eligibility != null;
	}

}
