package org.monsoonrelay.model.job;

import java.time.Duration;
import java.time.Instant;

/**
 * One task of a job. Invariant: attempt numbers only increase. The state is only changed
 * through {@link TaskList}, which counts the tasks in each state. Not thread-safe.
 */
final class Task {

	private static final int MAXIMUM_FAILURES = 5;

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 6;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

	/** A task whose last loss was longer ago is not suspected to cause its losses. */
	private static final Duration LOSS_MEMORY = Duration.ofMinutes(10);

	private final int index;

	private TaskState state = TaskState.WAITING;

	private long attempt;

	private long lastEndedAttempt;

	private int failures;

	private String worker = "";

	private String incarnation = "";

	private Instant notBefore = Instant.MIN;

	private int losses;

	private Instant lastLoss = Instant.MIN;

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
	 * Advance to an attempt with a higher number.
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
	 * Record that the latest attempt has definitely ended.
	 */
	void markEnded() {
		this.lastEndedAttempt = this.attempt;
	}

	/**
	 * Record that the latest attempt failed. The backoff before the next attempt doubles
	 * with each failure.
	 * @param now the current time, from which the backoff counts
	 */
	void recordFailure(Instant now) {
		int doublings = Math.min(this.failures, MAXIMUM_BACKOFF_DOUBLINGS);
		this.notBefore = now.plus(INITIAL_BACKOFF.multipliedBy(1L << doublings));
		this.failures++;
		markEnded();
	}

	/**
	 * Record that an attempt was lost with its worker, which the task may have crashed.
	 * After the first loss the task may be started at once, after further ones the
	 * backoff doubles each time.
	 * @param number number of the attempt
	 * @param now the current time, from which the backoff counts
	 */
	void recordLoss(long number, Instant now) {
		if (number != this.attempt || this.state != TaskState.RUNNING) {
			return;
		}
		boolean isRepeated = this.losses > 0 && now.isBefore(this.lastLoss.plus(LOSS_MEMORY));
		this.losses = isRepeated ? this.losses + 1 : 1;
		this.lastLoss = now;
		if (isRepeated) {
			int doublings = Math.min(this.losses - 2, MAXIMUM_BACKOFF_DOUBLINGS);
			this.notBefore = now.plus(INITIAL_BACKOFF.multipliedBy(1L << doublings));
		}
	}

	boolean hasFailedTooOften() {
		return this.failures >= MAXIMUM_FAILURES;
	}

	/**
	 * Whether a message about an attempt is still relevant: it concerns the latest
	 * attempt, and the task is not final. An attempt with a higher number was opened by a
	 * later owner and becomes the latest one.
	 * @param number number of the attempt that the message refers to
	 * @return {@code false} if the message has to be ignored
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
	 * Whether the latest attempt may still run although the task is waiting.
	 * @return {@code false} if there was no attempt or its end is confirmed
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
