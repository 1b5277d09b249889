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
 * The runs that may be alive on a worker. Invariant: there is one of a task at most. Not
 * thread-safe: confined to the control thread.
 */
final class RunSet {

	private final Map<TaskKey, Run> runs = new HashMap<>();

	// Each gang that waits asks for it in each turn; it changes only with the runs.
	private long idleNanos;

	private boolean idleTimeKnown;

	void add(Run run) {
		this.idleTimeKnown = false;
		this.runs.put(run.task(), run);
	}

	Optional<Run> remove(TaskKey task) {
		this.idleTimeKnown = false;
		return Optional.ofNullable(this.runs.remove(task));
	}

	Optional<Run> find(TaskKey task) {
		return Optional.ofNullable(this.runs.get(task));
	}

	List<Run> runs() {
		return List.copyOf(this.runs.values());
	}

	int size() {
		return this.runs.size();
	}

	long runCountOf(StepKey step) {
		return this.runs.keySet().stream().filter((task) -> task.stepKey().equals(step)).count();
	}

	/**
	 * How long until all runs have ended by what is declared of them; what has run for
	 * longer is taken to end now.
	 * @param nowNanos the current time
	 * @return milliseconds until the last one has ended, 0 if there is none
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
		Iterator<Run> each = this.runs.values().iterator();
		long last = each.next().estimatedEndNanos();
		while (each.hasNext()) {
			long next = each.next().estimatedEndNanos();
			if (next - last > 0) {
				last = next;
			}
		}
		return last;
	}

}
