package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * The runs that may be active on a worker. Invariant: at most one run per task. Not
 * thread-safe: confined to the control thread.
 */
final class RunSet {

	/**
	 * Age of a recent start, nanoseconds. An executed one is reported within a second.
	 */
	private static final long RECENT_START_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

	private final Map<TaskKey, Run> runs = new HashMap<>();

	private final SuspectedRuns suspectedRuns = new SuspectedRuns();

	// Cached because each waiting gang queries it in each turn; it changes only when a
	// run is added or removed.
	private long idleNanos;

	private boolean idleTimeKnown;

	void add(Run run) {
		this.idleTimeKnown = false;
		this.runs.put(run.task(), run);
		this.suspectedRuns.add(run);
	}

	Optional<Run> remove(TaskKey task) {
		this.idleTimeKnown = false;
		Optional<Run> removed = Optional.ofNullable(this.runs.remove(task));
		removed.ifPresent(this.suspectedRuns::remove);
		return removed;
	}

	Optional<Run> find(TaskKey task) {
		return Optional.ofNullable(this.runs.get(task));
	}

	List<Run> runs() {
		return List.copyOf(this.runs.values());
	}

	SuspectedRuns suspectedRuns() {
		return this.suspectedRuns;
	}

	/**
	 * Returns whether a recent start is unanswered.
	 * @param nowNanos the current monotonic time
	 * @return {@code false} also if a start remains unanswered for longer than an
	 * executed one takes to be reported
	 */
	boolean hasRecentUnansweredStart(long nowNanos) {
		for (Run run : this.runs.values()) {
			if (!run.hasBeenConfirmed() && nowNanos - run.requestedNanos() < RECENT_START_NANOS) {
				return true;
			}
		}
		return false;
	}

	int size() {
		return this.runs.size();
	}

	long runCountOf(StepKey step) {
		return this.runs.keySet().stream().filter((task) -> task.stepKey().equals(step)).count();
	}

	/**
	 * Returns the estimated time until all runs have terminated. A run that exceeds its
	 * estimate counts as terminating now.
	 * @param nowNanos the current monotonic time
	 * @return milliseconds until the last run terminates, 0 if there are no runs
	 */
	long millisUntilIdle(long nowNanos) {
		if (this.runs.isEmpty()) {
			return 0;
		}
		if (!this.idleTimeKnown) {
			this.idleNanos = lastEstimatedEndNanos();
			this.idleTimeKnown = true;
		}
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.idleNanos - nowNanos));
	}

	private long lastEstimatedEndNanos() {
		Iterator<Run> iterator = this.runs.values().iterator();
		long last = iterator.next().estimatedEndNanos();
		while (iterator.hasNext()) {
			long next = iterator.next().estimatedEndNanos();
			if (next - last > 0) {
				last = next;
			}
		}
		return last;
	}

}
