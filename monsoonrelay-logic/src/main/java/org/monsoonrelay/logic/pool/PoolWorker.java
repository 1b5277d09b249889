package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * One life of a worker with the ledger of what may run there. Invariant: room is given
 * out only while everything that may run there, is being stopped or is held fits the
 * capacity. Not thread-safe: confined to the control thread.
 */
final class PoolWorker {

	private final WorkerLease lease = new WorkerLease();

	private final FailureStreak failures = new FailureStreak();

	private final RunSet runs = new RunSet();

	private final Map<StepKey, StepReservation> reservations = new HashMap<>();

	private WorkerInfo info;

	private Resources committed = Resources.NONE;

	private Resources free;

	private boolean listed = true;

	private boolean reachable;

	private boolean recorded;

	private boolean lost;

	private long processedSequence;

	private long durableSequence;

	private final TreeSet<Long> processedAhead = new TreeSet<>();

	private List<TerminatedTask> deferredTerminations = List.of();

	private long capacityVersion;

	private final LongSupplier nextCapacityVersion;

	private long requestSentNanos;

	private boolean awaitingResponse;

	private boolean suspected;

	private boolean hasResponded;

	private long lastResponseNanos;

	PoolWorker(WorkerInfo info) {
		this(info, () -> 0);
	}

	/**
	 * Create a worker.
	 * @param info what the list says of it
	 * @param changes numbers the changes of all workers of a pool
	 */
	PoolWorker(WorkerInfo info, LongSupplier changes) {
		this.info = info;
		this.nextCapacityVersion = changes;
		setCommitted(Resources.NONE);
		advanceCapacityVersion();
	}

	// What is left is asked for far more often than it changes: for each waiting task of
	// each worker.
	private void setCommitted(Resources next) {
		this.committed = next;
		this.free = this.info.capacity().covers(next) ? this.info.capacity().minus(next) : Resources.NONE;
	}

	private void advanceCapacityVersion() {
		this.capacityVersion = this.nextCapacityVersion.getAsLong();
	}

	/**
	 * Note that an order was sent.
	 * @param nowNanos the current time
	 */
	void requestSent(long nowNanos) {
		if (!this.awaitingResponse) {
			this.awaitingResponse = true;
			this.requestSentNanos = nowNanos;
		}
	}

	/**
	 * Note any answer of the worker.
	 * @param nowNanos the current time
	 */
	void responseReceived(long nowNanos) {
		this.awaitingResponse = false;
		this.hasResponded = true;
		this.lastResponseNanos = nowNanos;
		setSuspected(false);
	}

	/**
	 * How long the worker has left orders unanswered and not been heard of.
	 * @param nowNanos the current time
	 * @return nanoseconds, 0 if no order waits
	 */
	long unansweredNanos(long nowNanos) {
		return this.awaitingResponse ? nowNanos - this.requestSentNanos : 0;
	}

	boolean hasRespondedWithin(long nanos, long nowNanos) {
		return this.hasResponded && nowNanos - this.lastResponseNanos < nanos;
	}

	/**
	 * Take no new work while in doubt whether the worker can be reached.
	 * @param isDoubted whether that is so
	 */
	void setSuspected(boolean isDoubted) {
		if (this.suspected && !isDoubted) {
			advanceCapacityVersion();
		}
		this.suspected = isDoubted;
	}

	boolean isSuspected() {
		return this.suspected;
	}

	/**
	 * Number of the last change that may have made room here for what found none before.
	 * @return the number
	 */
	long capacityVersion() {
		return this.capacityVersion;
	}

	/**
	 * Tell whether new work of a size may be placed here.
	 * @param size what a task holds
	 * @param nowNanos the current time
	 * @return {@code true} if there is room and the worker takes new work
	 */
	boolean canAccept(Resources size, long nowNanos) {
		return isAcceptingWork(nowNanos) && free().covers(size);
	}

	/**
	 * Whether the worker takes new work at all: it answers and leaves no order
	 * unanswered, the list names it, it is not leaving, the owner's row names it, and
	 * runs do not all fail here.
	 * @param nowNanos the current time
	 * @return {@code true} if so
	 */
	boolean isAcceptingWork(long nowNanos) {
		return isUsable() && !this.suspected && this.recorded && !this.failures.isAvoided(nowNanos);
	}

	/**
	 * Whether the worker can take new work, now or after a pause: it answers, the list
	 * names it and it is not leaving.
	 * @return {@code true} if so
	 */
	boolean isUsable() {
		return this.reachable && this.listed && !this.lost && !this.info.draining();
	}

	/**
	 * Room that is not free: of what may run here, is being stopped or is held.
	 * @return the room
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
		setCommitted(this.committed.plus(run.size()));
	}

	Optional<Run> release(TaskKey task) {
		Optional<Run> released = this.runs.remove(task);
		released.ifPresent((run) -> {
			setCommitted(this.committed.minus(run.size()));
			advanceCapacityVersion();
		});
		return released;
	}

	/**
	 * Hold room for a step until its ticket is renewed.
	 * @param step the step
	 * @param size the room
	 * @param untilNanos when the hold lapses
	 */
	void reserve(StepKey step, Resources size, long untilNanos) {
		cancelReservation(step);
		this.reservations.put(step, new StepReservation(size, untilNanos));
		setCommitted(this.committed.plus(size));
	}

	/**
	 * Room that is kept for steps.
	 * @return the room
	 */
	Resources reserved() {
		Resources held = Resources.NONE;
		for (StepReservation hold : this.reservations.values()) {
			held = held.plus(hold.size());
		}
		return held;
	}

	void cancelReservation(StepKey step) {
		if (this.reservations.isEmpty()) {
			return;
		}
		StepReservation hold = this.reservations.remove(step);
		if (hold != null) {
			setCommitted(this.committed.minus(hold.size()));
			advanceCapacityVersion();
		}
	}

	void expireReservations(long nowNanos) {
		if (this.reservations.isEmpty()) {
			return;
		}
		List<StepKey> lapsed = new ArrayList<>();
		this.reservations.forEach((step, hold) -> {
			if (nowNanos - hold.untilNanos() > 0) {
				lapsed.add(step);
			}
		});
		lapsed.forEach(this::cancelReservation);
	}

	Optional<Run> run(TaskKey task) {
		return this.runs.find(task);
	}

	Collection<Run> runs() {
		return this.runs.runs();
	}

	/**
	 * How long until what runs here has ended by what is declared of it.
	 * @param nowNanos the current time
	 * @return milliseconds, 0 if nothing runs
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

	/**
	 * Note that nothing runs here any more.
	 */
	void markLost() {
		this.lost = true;
		this.reachable = false;
		this.recorded = false;
	}

	void markReachable() {
		this.reachable = true;
		this.lost = false;
		advanceCapacityVersion();
	}

	void markUnreachable() {
		this.reachable = false;
	}

	void update(WorkerInfo newer) {
		if (!this.listed || !this.info.equals(newer)) {
			advanceCapacityVersion();
		}
		this.info = newer;
		setCommitted(this.committed);
		this.listed = true;
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

	void markDurable(long number) {
		this.durableSequence = Math.max(this.durableSequence, number);
	}

	boolean hasProcessed(TerminatedTask end) {
		return end.sequence() <= this.processedSequence || this.processedAhead.contains(end.sequence());
	}

	void markProcessed(TerminatedTask end) {
		this.processedAhead.add(end.sequence());
	}

	/**
	 * Keep ends that are listed and not taken in. All that were taken before the first of
	 * them count as processed.
	 * @param ends the ends in the order of their numbers
	 */
	void deferTerminations(List<TerminatedTask> ends) {
		this.deferredTerminations = List.copyOf(ends);
		long firstKept = ends.isEmpty() ? Long.MAX_VALUE : ends.get(0).sequence();
		while (!this.processedAhead.isEmpty() && this.processedAhead.first() < firstKept) {
			this.processedSequence = this.processedAhead.pollFirst();
		}
	}

	List<TerminatedTask> deferredTerminations() {
		return this.deferredTerminations;
	}

	WorkerInfo info() {
		return this.info;
	}

	String id() {
		return this.info.id();
	}

	WorkerLease lease() {
		return this.lease;
	}

	FailureStreak failures() {
		return this.failures;
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

	long processedSequence() {
		return this.processedSequence;
	}

	long durableSequence() {
		return this.durableSequence;
	}

	private record StepReservation(Resources size, long untilNanos) {

	}

}
