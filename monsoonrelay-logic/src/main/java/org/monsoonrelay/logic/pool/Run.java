package org.monsoonrelay.logic.pool;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.CrashSuspicion;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A run that may be active on a worker and therefore occupies capacity there. Not
 * thread-safe: confined to the control thread.
 */
final class Run {

	/**
	 * Time from the confirmed start of a run until its worker has to answer once more,
	 * nanoseconds. Tasks that crash their workers mostly do so shortly after their start.
	 */
	private static final long PROBATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

	private final TaskKey task;

	private final int attempt;

	private final String workerId;

	private final Resources size;

	private final long requestedNanos;

	private final boolean adopted;

	private CrashSuspicion suspicion = CrashSuspicion.NONE;

	private State state;

	private long confirmedNanos;

	private boolean confirmed;

	private OptionalLong missedNanos = OptionalLong.empty();

	private boolean startConfirmed;

	private long probationEndNanos;

	private boolean onProbation = true;

	private boolean startUnanswered;

	private boolean startRepeated;

	private boolean resumed;

	private String checkpoint = "";

	private long estimatedEndNanos;

	private Run(TaskKey task, int attempt, String workerId, Resources size, State state, long requestedNanos,
			boolean adopted) {
		this.task = task;
		this.attempt = attempt;
		this.workerId = workerId;
		this.size = size;
		this.state = state;
		this.requestedNanos = requestedNanos;
		this.adopted = adopted;
		this.estimatedEndNanos = requestedNanos;
	}

	/**
	 * Creates a run whose start request is about to be sent.
	 * @param task the task
	 * @param attempt the attempt number
	 * @param workerId the id of the worker
	 * @param size the capacity that the run occupies
	 * @param nowNanos the current monotonic time
	 * @return the run
	 */
	static Run starting(TaskKey task, int attempt, String workerId, Resources size, long nowNanos) {
		return new Run(task, attempt, workerId, size, State.STARTING, nowNanos, false);
	}

	/**
	 * Creates a run that an earlier owner started.
	 * @param reported the run as reported by the worker
	 * @param workerId the id of the worker
	 * @param size the capacity that the run occupies
	 * @param nowNanos the current monotonic time
	 * @return the run
	 */
	static Run adopted(RunningTask reported, String workerId, Resources size, long nowNanos) {
		Run run = new Run(reported.task(), reported.attempt(), workerId, size, State.RUNNING, nowNanos, true);
		run.confirm(nowNanos);
		return run;
	}

	/**
	 * Sets the estimated duration of the run.
	 * @param millis milliseconds from the start request on
	 */
	void setEstimateMillis(long millis) {
		this.estimatedEndNanos = this.requestedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Sets how strongly the task is suspected to crash the worker, before the run is
	 * added to the worker.
	 * @param next the suspicion
	 */
	void setSuspicion(CrashSuspicion next) {
		this.suspicion = next;
	}

	/**
	 * Returns the estimated end of the run.
	 * @return the monotonic time, that of the start request if no estimate is set
	 */
	long estimatedEndNanos() {
		return this.estimatedEndNanos;
	}

	/**
	 * Records that the worker confirmed the last request for this run.
	 * @param nowNanos the current monotonic time
	 */
	void confirm(long nowNanos) {
		if (!this.startConfirmed && this.state != State.STOPPING) {
			this.startConfirmed = true;
			this.probationEndNanos = nowNanos + PROBATION_NANOS;
		}
		this.confirmed = true;
		this.missedNanos = OptionalLong.empty();
		this.confirmedNanos = nowNanos;
		if (this.state == State.STARTING) {
			this.state = State.RUNNING;
		}
	}

	/**
	 * Records that a stop of the run is requested.
	 */
	void markStopping() {
		this.state = State.STOPPING;
		this.confirmed = false;
	}

	/**
	 * Returns whether the response to a poll must contain this run or its termination.
	 * @param pollSentNanos monotonic time at which the poll was sent
	 * @return {@code true} if a response without either means that the run is lost
	 */
	boolean mustAppearInPoll(long pollSentNanos) {
		return this.confirmed && this.confirmedNanos - pollSentNanos < 0;
	}

	/**
	 * Records that a complete report lists neither this run nor its termination. A worker
	 * may list the termination a little later.
	 * @param pollSentNanos monotonic time at which the report was requested
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if the report was requested long enough after an earlier one
	 * that lacked the run as well
	 */
	boolean markMissed(long pollSentNanos, long nowNanos) {
		if (this.missedNanos.isEmpty()) {
			this.missedNanos = OptionalLong.of(nowNanos);
		}
		return pollSentNanos - lostFromNanos() >= 0;
	}

	/**
	 * Returns from when on a report has to be requested that shows whether this run is
	 * lost.
	 * @return the monotonic time, meaningless for a run that no report has lacked
	 */
	long lostFromNanos() {
		return this.missedNanos.orElse(0) + TerminationSequence.MAX_LISTING_DELAY_NANOS;
	}

	/**
	 * Returns whether the worker has confirmed that the run was started.
	 * @return {@code false} if the start request may never have arrived
	 */
	boolean hasBeenConfirmed() {
		return this.startConfirmed;
	}

	/**
	 * Ends the probation if the worker has survived it. A worker that does not answer
	 * ends none.
	 * @param answeredNanos monotonic time at which a request was sent that the worker has
	 * answered
	 */
	void endProbationIfDue(long answeredNanos) {
		if (this.startConfirmed && answeredNanos - this.probationEndNanos >= 0) {
			this.onProbation = false;
		}
	}

	boolean isOnProbation() {
		return this.onProbation;
	}

	/**
	 * Returns from when on an answer of the worker ends the probation.
	 * @return the monotonic time, meaningless before the start is confirmed
	 */
	long probationEndNanos() {
		return this.probationEndNanos;
	}

	/**
	 * Records that a start request was not answered in time.
	 */
	void markStartUnanswered() {
		this.startUnanswered = true;
	}

	boolean isStartUnanswered() {
		return this.startUnanswered;
	}

	/**
	 * Records that the start request is sent once more, as it was not answered.
	 */
	void markStartRepeated() {
		this.startRepeated = true;
	}

	/**
	 * Returns whether no start request of this run can be executed any more.
	 * @return {@code false} if a request is unanswered, possibly one of an earlier owner
	 */
	boolean isStartResolved() {
		return this.startConfirmed && !this.startRepeated && !this.adopted;
	}

	/**
	 * Records that the run continues from a checkpoint.
	 */
	void markResumed() {
		this.resumed = true;
	}

	boolean isResumed() {
		return this.resumed;
	}

	void updateCheckpoint(String latest) {
		if (!latest.isEmpty()) {
			this.checkpoint = latest;
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

	CrashSuspicion suspicion() {
		return this.suspicion;
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
	 * Returns whether an earlier owner started the run.
	 * @return {@code true} if the start time of the run is unknown
	 */
	boolean isAdopted() {
		return this.adopted;
	}

	String checkpoint() {
		return this.checkpoint;
	}

	/** The state of a run. */
	enum State {

		/** The start request was sent but is not confirmed. */
		STARTING,

		/** The worker confirmed the start. */
		RUNNING,

		/** A stop was requested. */
		STOPPING

	}

}
