package org.monsoonrelay.model.job;

import java.time.Duration;
import java.time.Instant;

/**
 * One task of a job. Invariant: attempt numbers only grow. Its state is changed through
 * {@link TaskList} alone, which counts states. Not thread-safe.
 */
final class Task {

	private static final int MAXIMUM_FAILURES = 5;

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 6;

	private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);

	private final int index;

	private TaskState state = TaskState.WAITING;

	private long attempt;

	private long lastEndedAttempt;

	private int failures;

	private String worker = "";

	private String incarnation = "";

	private Instant notBefore = Instant.MIN;

	Task(int index) {
		this.index = index;
	}

	void restore(TaskRecord recorded, TaskState restored, boolean hasEnded) {
		this.attempt = recorded.attempt();
		this.worker = recorded.worker();
		this.incarnation = recorded.incarnation();
		this.failures = recorded.failures();
		this.state = restored;
		this.lastEndedAttempt = hasEnded ? this.attempt : 0;
	}

	/**
	 * Go on to an attempt with a higher number.
	 * @param number the attempt's number
	 */
	void advanceTo(long number) {
		this.attempt = number;
		this.worker = "";
		this.incarnation = "";
	}

	void setPlacement(String newWorker, String newIncarnation) {
		this.worker = newWorker;
		this.incarnation = newIncarnation;
	}

	void setWorker(String newWorker) {
		this.worker = newWorker;
	}

	/**
	 * Note that the last attempt does not run any more, for certain.
	 */
	void markEnded() {
		this.lastEndedAttempt = this.attempt;
	}

	/**
	 * Note that the last attempt ended badly. The next one waits, twice as long with each
	 * failure.
	 * @param now the current time, from which the backoff counts
	 */
	void recordFailure(Instant now) {
		int doublings = Math.min(this.failures, MAXIMUM_BACKOFF_DOUBLINGS);
		this.notBefore = now.plus(FIRST_BACKOFF.multipliedBy(1L << doublings));
		this.failures++;
		markEnded();
	}

	boolean hasFailedTooOften() {
		return this.failures >= MAXIMUM_FAILURES;
	}

	/**
	 * Tell whether a message is about the last attempt and can still change something. An
	 * attempt with a higher number was opened by a later owner and becomes the last.
	 * @param number number of the attempt that the message is about
	 * @return {@code false} if the message changes nothing
	 */
	boolean acceptsMessageFor(long number) {
		if (number < this.attempt || hasEnded(number) || this.state.isFinal()) {
			return false;
		}
		if (number > this.attempt) {
			advanceTo(number);
		}
		return true;
	}

	/**
	 * Tell whether the last attempt may run somewhere although the task waits.
	 * @return {@code false} if there was none, or its end is certain
	 */
	boolean mayRunUnconfirmed() {
		return this.state == TaskState.WAITING && this.attempt > this.lastEndedAttempt;
	}

	boolean hasEnded(long number) {
		return number <= this.lastEndedAttempt;
	}

	boolean isOpen() {
		return this.state == TaskState.RESERVED || this.state.mayBeRunning();
	}

	boolean isDue(Instant now) {
		return !now.isBefore(this.notBefore);
	}

	int index() {
		return this.index;
	}

	TaskState state() {
		return this.state;
	}

	void setState(TaskState next) {
		this.state = next;
	}

	long attempt() {
		return this.attempt;
	}

	TaskRecord toRecord() {
		return new TaskRecord(this.index, this.attempt, this.state, this.worker, this.incarnation, this.failures);
	}

}
