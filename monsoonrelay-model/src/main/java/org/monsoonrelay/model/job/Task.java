package org.monsoonrelay.model.job;

import java.time.Instant;

/**
 * One task of a job. Invariant: attempt numbers only grow. Its state is changed through
 * {@link TaskList} alone, which counts states. Not thread-safe.
 */
final class Task {

	private final int index;

	private TaskState state = TaskState.WAITING;

	private long attempt;

	private long ended;

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
		this.ended = hasEnded ? this.attempt : 0;
	}

	/**
	 * Go on to an attempt with a higher number.
	 * @param number the attempt's number
	 */
	void advance(long number) {
		this.attempt = number;
		this.worker = "";
		this.incarnation = "";
	}

	void placedOn(String newWorker, String newIncarnation) {
		this.worker = newWorker;
		this.incarnation = newIncarnation;
	}

	void runsOn(String newWorker) {
		this.worker = newWorker;
	}

	/**
	 * Note that the last attempt does not run any more, for certain.
	 */
	void end() {
		this.ended = this.attempt;
	}

	/**
	 * Note that the last attempt ended badly.
	 * @param retryNotBefore when the next may start
	 */
	void fail(Instant retryNotBefore) {
		this.failures++;
		this.notBefore = retryNotBefore;
		end();
	}

	/**
	 * Tell whether the last attempt may run somewhere although the task waits.
	 * @return {@code false} if there was none, or its end is certain
	 */
	boolean mayRunUnseen() {
		return this.state == TaskState.WAITING && this.attempt > this.ended;
	}

	boolean hasEnded(long number) {
		return number <= this.ended;
	}

	boolean isOpen() {
		return this.state == TaskState.RESERVED || this.state.mayRun();
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

	int failures() {
		return this.failures;
	}

	TaskRecord toRecord() {
		return new TaskRecord(this.index, this.attempt, this.state, this.worker, this.incarnation, this.failures);
	}

}
