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

	private final Map<StepKey, Hold> holds = new HashMap<>();

	private WorkerInfo info;

	private Resources committed = Resources.NONE;

	private Resources free;

	private boolean listed = true;

	private boolean reached;

	private boolean named;

	private boolean lost;

	private long processedEnds;

	private long durableEnds;

	private final TreeSet<Long> takenEnds = new TreeSet<>();

	private List<EndedTask> keptEnds = List.of();

	private long changed;

	private final LongSupplier changes;

	private long orderedNanos;

	private boolean unanswered;

	private boolean doubted;

	private boolean heard;

	private long heardNanos;

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
		this.changes = changes;
		commit(Resources.NONE);
		noteChange();
	}

	// What is left is asked for far more often than it changes: for each waiting task of
	// each worker.
	private void commit(Resources next) {
		this.committed = next;
		this.free = this.info.capacity().covers(next) ? this.info.capacity().minus(next) : Resources.NONE;
	}

	private void noteChange() {
		this.changed = this.changes.getAsLong();
	}

	/**
	 * Note that an order was sent.
	 * @param nowNanos the current time
	 */
	void ordered(long nowNanos) {
		if (!this.unanswered) {
			this.unanswered = true;
			this.orderedNanos = nowNanos;
		}
	}

	/**
	 * Note any answer of the worker.
	 * @param nowNanos the current time
	 */
	void heard(long nowNanos) {
		this.unanswered = false;
		this.heard = true;
		this.heardNanos = nowNanos;
		doubt(false);
	}

	/**
	 * How long the worker has left orders unanswered and not been heard of.
	 * @param nowNanos the current time
	 * @return nanoseconds, 0 if no order waits
	 */
	long unansweredNanos(long nowNanos) {
		return this.unanswered ? nowNanos - this.orderedNanos : 0;
	}

	boolean heardWithin(long nanos, long nowNanos) {
		return this.heard && nowNanos - this.heardNanos < nanos;
	}

	/**
	 * Take no new work while in doubt whether the worker can be reached.
	 * @param isDoubted whether that is so
	 */
	void doubt(boolean isDoubted) {
		if (this.doubted && !isDoubted) {
			noteChange();
		}
		this.doubted = isDoubted;
	}

	boolean isDoubted() {
		return this.doubted;
	}

	/**
	 * Number of the last change that may have made room here for what found none before.
	 * @return the number
	 */
	long changed() {
		return this.changed;
	}

	/**
	 * Tell whether new work of a size may be placed here.
	 * @param size what a task holds
	 * @param nowNanos the current time
	 * @return {@code true} if there is room and the worker takes new work
	 */
	boolean accepts(Resources size, long nowNanos) {
		return isOpen(nowNanos) && free().covers(size);
	}

	/**
	 * Whether the worker takes new work at all: it answers and leaves no order
	 * unanswered, the list names it, it is not leaving, the owner's row names it, and
	 * runs do not all fail here.
	 * @param nowNanos the current time
	 * @return {@code true} if so
	 */
	boolean isOpen(long nowNanos) {
		return isUsable() && !this.doubted && this.named && !this.failures.isAvoided(nowNanos);
	}

	/**
	 * Whether the worker can take new work, now or after a pause: it answers, the list
	 * names it and it is not leaving.
	 * @return {@code true} if so
	 */
	boolean isUsable() {
		return this.reached && this.listed && !this.lost && !this.info.draining();
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
		commit(this.committed.plus(run.size()));
	}

	Optional<Run> release(TaskKey task) {
		Optional<Run> released = this.runs.remove(task);
		released.ifPresent((run) -> {
			commit(this.committed.minus(run.size()));
			noteChange();
		});
		return released;
	}

	/**
	 * Hold room for a step until its ticket is renewed.
	 * @param step the step
	 * @param size the room
	 * @param untilNanos when the hold lapses
	 */
	void hold(StepKey step, Resources size, long untilNanos) {
		unhold(step);
		this.holds.put(step, new Hold(size, untilNanos));
		commit(this.committed.plus(size));
	}

	/**
	 * Room that is kept for steps.
	 * @return the room
	 */
	Resources held() {
		Resources held = Resources.NONE;
		for (Hold hold : this.holds.values()) {
			held = held.plus(hold.size());
		}
		return held;
	}

	void unhold(StepKey step) {
		if (this.holds.isEmpty()) {
			return;
		}
		Hold hold = this.holds.remove(step);
		if (hold != null) {
			commit(this.committed.minus(hold.size()));
			noteChange();
		}
	}

	void lapseHolds(long nowNanos) {
		if (this.holds.isEmpty()) {
			return;
		}
		List<StepKey> lapsed = new ArrayList<>();
		this.holds.forEach((step, hold) -> {
			if (nowNanos - hold.untilNanos() > 0) {
				lapsed.add(step);
			}
		});
		lapsed.forEach(this::unhold);
	}

	Optional<Run> run(TaskKey task) {
		return this.runs.of(task);
	}

	Collection<Run> runs() {
		return this.runs.all();
	}

	/**
	 * How long until what runs here has ended by what is declared of it.
	 * @param nowNanos the current time
	 * @return milliseconds, 0 if nothing runs
	 */
	long emptyInMillis(long nowNanos) {
		return this.runs.emptyInMillis(nowNanos);
	}

	int runCount() {
		return this.runs.size();
	}

	long countOf(StepKey step) {
		return this.runs.countOf(step);
	}

	/**
	 * Note that nothing runs here any more.
	 */
	void markLost() {
		this.lost = true;
		this.reached = false;
		this.named = false;
	}

	void markReached() {
		this.reached = true;
		this.lost = false;
		noteChange();
	}

	void markSilent() {
		this.reached = false;
	}

	void update(WorkerInfo newer) {
		if (!this.listed || !this.info.equals(newer)) {
			noteChange();
		}
		this.info = newer;
		commit(this.committed);
		this.listed = true;
	}

	void unlist() {
		this.listed = false;
	}

	void markNamed() {
		if (!this.named) {
			noteChange();
		}
		this.named = true;
	}

	void unname() {
		this.named = false;
	}

	void durable(long number) {
		this.durableEnds = Math.max(this.durableEnds, number);
	}

	boolean hasTaken(EndedTask end) {
		return end.number() <= this.processedEnds || this.takenEnds.contains(end.number());
	}

	void taken(EndedTask end) {
		this.takenEnds.add(end.number());
	}

	/**
	 * Keep ends that are listed and not taken in. All that were taken before the first of
	 * them count as processed.
	 * @param ends the ends in the order of their numbers
	 */
	void keep(List<EndedTask> ends) {
		this.keptEnds = List.copyOf(ends);
		long firstKept = ends.isEmpty() ? Long.MAX_VALUE : ends.get(0).number();
		while (!this.takenEnds.isEmpty() && this.takenEnds.first() < firstKept) {
			this.processedEnds = this.takenEnds.pollFirst();
		}
	}

	List<EndedTask> keptEnds() {
		return this.keptEnds;
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

	boolean isReached() {
		return this.reached;
	}

	boolean isListed() {
		return this.listed;
	}

	boolean isLost() {
		return this.lost;
	}

	long processedEnds() {
		return this.processedEnds;
	}

	long durableEnds() {
		return this.durableEnds;
	}

	private record Hold(Resources size, long untilNanos) {

	}

}
