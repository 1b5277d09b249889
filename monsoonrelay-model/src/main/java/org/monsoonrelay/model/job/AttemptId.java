package org.monsoonrelay.model.job;

/**
 * Identity of one attempt to run a task of a job. Unique over the lifetime of the cell,
 * because attempt numbers only increase and contain the epoch of the queue's owner.
 * Immutable.
 *
 * @param job the job
 * @param task index of the task, from 0
 * @param attempt number of the attempt, the epoch of the queue's owner in its high bits
 */
public record AttemptId(JobId job, int task, long attempt) {

	private static final char SEPARATOR = '/';

	private static final int EPOCH_SHIFT = 20;

	static long firstNumber(long queueEpoch) {
		return queueEpoch << EPOCH_SHIFT;
	}

	/**
	 * Epoch of the queue's owner that opened the attempt.
	 * @return the epoch
	 */
	public long queueEpoch() {
		return this.attempt >> EPOCH_SHIFT;
	}

	/**
	 * Parse the form that {@link #toString()} returns.
	 * @param text the form {@code name@run/task/attempt}
	 * @return the identity
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static AttemptId parse(String text) {
		int last = text.lastIndexOf(SEPARATOR);
		int middle = text.lastIndexOf(SEPARATOR, last - 1);
		if (middle <= 0) {
			throw new IllegalArgumentException("not an attempt id (name@run/task/attempt): " + text);
		}
		return new AttemptId(JobId.parse(text.substring(0, middle)), Integer.parseInt(text.substring(middle + 1, last)),
				Long.parseLong(text.substring(last + 1)));
	}

	@Override
	public String toString() {
		return this.job.toString() + SEPARATOR + this.task + SEPARATOR + this.attempt;
	}

}
