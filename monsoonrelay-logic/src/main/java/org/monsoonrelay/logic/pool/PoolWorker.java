package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * A worker, with the runs that may be active there and the capacity that they occupy.
 * After a restart, runs of the former incarnation are kept until the next one has
 * reported. Invariant: capacity is committed only while all runs that may be active or
 * are being stopped, together with all held capacity, fit the worker's capacity. Not
 * thread-safe: confined to the control thread.
 */
final class PoolWorker {

	private final RunSet runs = new RunSet();

	private final ResponseTimes responses = new ResponseTimes();

	private final HeldCapacity holds = new HeldCapacity();

	private WorkerInfo info;

	private WorkerIncarnation incarnation;

	// Whether the previous incarnation in the list was about to leave.
	private boolean formerDraining;

	private Resources committed = Resources.NONE;

	private Resources free;

	private boolean listed = true;

	private boolean reachable;

	private final PollSilence silence = new PollSilence();

	// Whether the durable owner record lists this worker as usable.
	private boolean recorded;

	private boolean lost;

	private long capacityVersion;

	private final LongSupplier nextCapacityVersion;

	private final RunAccounting accounting;

	private boolean suspected;

	PoolWorker(WorkerInfo info) {
		this(info, 0, () -> 0, RunAccounting.NONE);
	}

	/**
	 * Creates a worker.
	 * @param info the description of the worker from the host list
	 * @param tokenGeneration how often the fencing token of the worker may have been
	 * raised before
	 * @param nextCapacityVersion supplies the next capacity version of the pool
	 * @param accounting is notified when a run is added or removed
	 */
	PoolWorker(WorkerInfo info, int tokenGeneration, LongSupplier nextCapacityVersion, RunAccounting accounting) {
		this.info = info;
		this.incarnation = WorkerIncarnation.unknown(tokenGeneration);
		this.nextCapacityVersion = nextCapacityVersion;
		this.accounting = accounting;
		setCommitted(Resources.NONE);
		advanceCapacityVersion();
	}

	// The free capacity is precomputed: it is read for each pair of waiting task and
	// worker, far more often than it changes.
	private void setCommitted(Resources next) {
		this.committed = next;
		this.free = this.info.capacity().covers(next) ? this.info.capacity().minus(next) : Resources.NONE;
	}

	private void advanceCapacityVersion() {
		this.capacityVersion = this.nextCapacityVersion.getAsLong();
	}

	ResponseTimes responses() {
		return this.responses;
	}

	/**
	 * Records a response of the worker to any request.
	 * @param nowNanos the current monotonic time
	 */
	void responseReceived(long nowNanos) {
		this.responses.responseReceived(nowNanos);
		setSuspected(false);
	}

	/**
	 * Sets whether the worker is suspected to be unresponsive. A suspected worker accepts
	 * no new work.
	 * @param isSuspected whether the worker is suspected
	 */
	void setSuspected(boolean isSuspected) {
		if (this.suspected && !isSuspected) {
			advanceCapacityVersion();
		}
		this.suspected = isSuspected;
	}

	boolean isSuspected() {
		return this.suspected;
	}

	/**
	 * Returns the pool's capacity version of the last change by which this worker may
	 * accept a task that it could not accept before.
	 * @return the version
	 */
	long capacityVersion() {
		return this.capacityVersion;
	}

	/**
	 * Returns whether a task of a given size can be placed on this worker.
	 * @param size the capacity that the task occupies
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if the worker accepts work and has enough free capacity
	 */
	boolean canAccept(Resources size, long nowNanos) {
		return isAcceptingWork(nowNanos) && free().covers(size);
	}

	/**
	 * Returns whether the worker accepts new work: it is usable, not suspected, recorded
	 * in the owner record and not avoided after failures or a refused start.
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if the worker accepts new work
	 */
	boolean isAcceptingWork(long nowNanos) {
		return isUsable() && !this.suspected && this.recorded && !failures().isAvoided(nowNanos);
	}

	/**
	 * Returns whether the worker can accept new work, now or after a pause: it is
	 * reachable, has reported all its runs, is not draining, and is listed with the
	 * capacity of its current incarnation.
	 * @return {@code true} if the worker is usable
	 */
	boolean isUsable() {
		return this.reachable && !this.incarnation.isPartlyReported() && this.listed && !this.lost
				&& !this.info.draining() && !this.incarnation.follows(this.info);
	}

	/**
	 * Returns the capacity that is not free: that of runs that may be active or are being
	 * stopped, and held capacity.
	 * @return the committed capacity
	 */
	Resources committed() {
		return this.committed;
	}

	Resources free() {
		return this.free;
	}

	void add(Run run) {
		release(run.task());
		this.runs.add(run);
		this.accounting.added(run);
		setCommitted(this.committed.plus(run.size()));
	}

	Optional<Run> release(TaskKey task) {
		Optional<Run> released = this.runs.remove(task);
		released.ifPresent((run) -> {
			this.accounting.removed(run);
			setCommitted(this.committed.minus(run.size()));
			advanceCapacityVersion();
		});
		return released;
	}

	/**
	 * Holds capacity for a step until its eligibility ticket is renewed. An earlier hold
	 * of the step is replaced.
	 * @param step the step
	 * @param size the capacity to hold
	 * @param untilNanos monotonic time at which the hold expires
	 */
	void hold(StepKey step, Resources size, long untilNanos) {
		releaseHold(step);
		this.holds.put(step, size, untilNanos);
		setCommitted(this.committed.plus(size));
	}

	Resources held() {
		return this.holds.total();
	}

	void releaseHold(StepKey step) {
		this.holds.remove(step).ifPresent((size) -> {
			setCommitted(this.committed.minus(size));
			advanceCapacityVersion();
		});
	}

	void expireHolds(long nowNanos) {
		this.holds.expired(nowNanos).forEach(this::releaseHold);
	}

	Optional<Run> run(TaskKey task) {
		return this.runs.find(task);
	}

	Collection<Run> runs() {
		return this.runs.runs();
	}

	/**
	 * Returns the estimated time until all runs of this worker have terminated.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, 0 if there are no runs
	 */
	long millisUntilIdle(long nowNanos) {
		return this.runs.millisUntilIdle(nowNanos);
	}

	int runCount() {
		return this.runs.size();
	}

	long runCountOf(StepKey step) {
		return this.runs.runCountOf(step);
	}

	SuspectedRuns suspectedRuns() {
		return this.runs.suspectedRuns();
	}

	/**
	 * Records that this owner keeps no run active on this worker any more.
	 */
	void markLost() {
		this.lost = true;
		this.reachable = false;
		this.recorded = false;
	}

	void markReachable() {
		this.reachable = true;
		this.silence.end();
		this.lost = false;
		advanceCapacityVersion();
	}

	void markUnreachable(long nowNanos) {
		this.silence.begin(nowNanos);
		this.reachable = false;
	}

	PollSilence silence() {
		return this.silence;
	}

	/**
	 * Updates the description of this worker.
	 * @param newer the entry of the worker list
	 * @return {@code true} if the entry is the first one of a later incarnation
	 */
	boolean update(WorkerInfo newer) {
		boolean isOtherIncarnation = !newer.startedMillis().equals(this.info.startedMillis());
		if (!this.listed || !this.info.equals(newer)) {
			advanceCapacityVersion();
		}
		if (isOtherIncarnation) {
			this.formerDraining = this.info.draining();
		}
		this.info = newer;
		setCommitted(this.committed);
		this.listed = true;
		return isOtherIncarnation && this.incarnation.isFollowedBy(newer);
	}

	/**
	 * Begins the next incarnation of this worker. It accepts no work until it has
	 * reported, and its requests carry a higher fencing token.
	 * @param startedMillis when it was started, empty if that is not known yet
	 * @param nowNanos the current monotonic time
	 */
	void restart(OptionalLong startedMillis, long nowNanos) {
		boolean isLeaving = this.incarnation.isFollowedBy(this.info) ? this.formerDraining : this.info.draining();
		this.incarnation = this.incarnation.restarted(startedMillis, isLeaving, nowNanos);
		this.responses.cancelRequests();
		markUnreachable(nowNanos);
	}

	/**
	 * Returns whether the incarnation whose runs are listed here is about to leave, so
	 * that the loss of these runs is planned.
	 * @return {@code true} if it is draining
	 */
	boolean isLeaving() {
		return this.incarnation.unresolvedPredecessor()
			.map(WorkerIncarnation.Predecessor::draining)
			.orElse(this.info.draining());
	}

	/**
	 * Returns up to which sequence number terminations may be acknowledged. None may
	 * while a recent start is unanswered, as a later incarnation may have executed it: it
	 * would discard terminations that nobody has read.
	 * @param nowNanos the current monotonic time
	 * @return the sequence number, 0 for none
	 */
	long acknowledgeableSequence(long nowNanos) {
		return (this.reachable && !hasRecentUnansweredStart(nowNanos)) ? terminations().durable() : 0;
	}

	boolean hasRecentUnansweredStart(long nowNanos) {
		return this.runs.hasRecentUnansweredStart(nowNanos);
	}

	void markUnlisted() {
		this.listed = false;
	}

	void markRecorded() {
		if (!this.recorded) {
			advanceCapacityVersion();
		}
		this.recorded = true;
	}

	void clearRecorded() {
		this.recorded = false;
	}

	/**
	 * Returns whether a worker is still listed with the address that it had.
	 * @param earlier an earlier description of this worker
	 * @return {@code false} if it has moved
	 */
	boolean isAt(WorkerInfo earlier) {
		return this.info.address().equals(earlier.address());
	}

	WorkerInfo info() {
		return this.info;
	}

	String id() {
		return this.info.id();
	}

	WorkerIncarnation incarnation() {
		return this.incarnation;
	}

	WorkerLease lease() {
		return this.incarnation.lease();
	}

	TerminationSequence terminations() {
		return this.incarnation.terminations();
	}

	FailureStreak failures() {
		return this.incarnation.failures();
	}

	boolean isReachable() {
		return this.reachable;
	}

	boolean isListed() {
		return this.listed;
	}

	boolean isLost() {
		return this.lost;
	}

}
