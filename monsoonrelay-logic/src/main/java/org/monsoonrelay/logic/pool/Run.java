package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A run that may be alive on a worker and therefore holds room there. Not thread-safe:
 * confined to the control thread.
 */
final class Run {

	private final TaskKey task;

	private final int attempt;

	private final String workerId;

	private final Resources size;

	private final long requestedNanos;

	private final boolean adopted;

	private State state;

	private long confirmedNanos;

	private boolean confirmed;

	private String checkpoint = "";

	private long estimatedEndNanos;

	private Run(TaskKey task, int attempt, String worker, Resources size, State state, long orderedNanos,
			boolean adopted) {
		this.task = task;
		this.attempt = attempt;
		this.workerId = worker;
		this.size = size;
		this.state = state;
		this.requestedNanos = orderedNanos;
		this.adopted = adopted;
		this.estimatedEndNanos = orderedNanos;
	}

	/**
	 * A run whose start is about to be sent.
	 * @param task the task
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param size what it holds
	 * @param nowNanos the current time
	 * @return the run
	 */
	static Run starting(TaskKey task, int attempt, String worker, Resources size, long nowNanos) {
		return new Run(task, attempt, worker, size, State.STARTING, nowNanos, false);
	}

	/**
	 * A run that an earlier owner started.
	 * @param seen the worker's word
	 * @param worker the worker
	 * @param size what it holds
	 * @param nowNanos the current time
	 * @return the run
	 */
	static Run adopted(RunningTask seen, String worker, Resources size, long nowNanos) {
		Run run = new Run(seen.task(), seen.attempt(), worker, size, State.RUNNING, nowNanos, true);
		run.confirm(nowNanos);
		return run;
	}

	/**
	 * Note how long the run is declared to take.
	 * @param millis milliseconds from its order on
	 */
	void setEstimateMillis(long millis) {
		this.estimatedEndNanos = this.requestedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * When the run has ended by what is declared of it.
	 * @return the time on the monotonic clock, that of its order if nothing is declared
	 */
	long estimatedEndNanos() {
		return this.estimatedEndNanos;
	}

	/**
	 * Note that the worker has confirmed the last order for this run.
	 * @param nowNanos the current time
	 */
	void confirm(long nowNanos) {
		this.confirmed = true;
		this.confirmedNanos = nowNanos;
		if (this.state == State.STARTING) {
			this.state = State.RUNNING;
		}
	}

	/**
	 * Note that the run is to stop.
	 */
	void markStopping() {
		this.state = State.STOPPING;
		this.confirmed = false;
	}

	/**
	 * Whether a look that was sent at a time has to show this run or its end.
	 * @param lookSentNanos when the look was sent
	 * @return {@code true} if the run is over when the look shows neither
	 */
	boolean mustAppearInPoll(long lookSentNanos) {
		return this.confirmed && this.confirmedNanos - lookSentNanos < 0;
	}

	void updateCheckpoint(String progress) {
		if (!progress.isEmpty()) {
			this.checkpoint = progress;
		}
	}

	TaskKey task() {
		return this.task;
	}

	int attempt() {
		return this.attempt;
	}

	String workerId() {
		return this.workerId;
	}

	Resources size() {
		return this.size;
	}

	State state() {
		return this.state;
	}

	long requestedNanos() {
		return this.requestedNanos;
	}

	/**
	 * Whether another owner has started it.
	 * @return {@code true} if it is not known here since when it runs
	 */
	boolean isAdopted() {
		return this.adopted;
	}

	String checkpoint() {
		return this.checkpoint;
	}

	/** Where a run stands. */
	enum State {

		/** The start was sent and not confirmed. */
		STARTING,

		/** The worker has confirmed it. */
		RUNNING,

		/** A stop was sent. */
		STOPPING

	}

}
