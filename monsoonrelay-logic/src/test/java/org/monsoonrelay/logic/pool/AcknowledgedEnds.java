package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * The ends of tasks and their acknowledgements. Reports a start after an end as done that
 * is acknowledged then or later, and a start after the last allowed failure that is
 * acknowledged then. If the lease of the worker lapsed between the end and its
 * acknowledgement, the end does not count as acknowledged; reported are only starts
 * ordered after the acknowledgement was, by the owner that sent it or a later one, not
 * earlier orders that a worker executes late. Not thread-safe.
 */
final class AcknowledgedEnds {

	private final Consumer<String> violations;

	private final Map<TaskKey, Long> lastStarts = new HashMap<>();

	private final Set<TaskKey> acknowledgedTasks = new HashSet<>();

	private final Map<TaskKey, List<Acknowledgement>> afterLapse = new HashMap<>();

	// By worker and sequence number.
	private final Map<Object, Map<Long, End>> unacknowledged = new HashMap<>();

	// By worker and sequence number.
	private final Map<Object, Map<Long, TaskKey>> unacknowledgedFailures = new HashMap<>();

	private final Map<TaskKey, Integer> acknowledgedFailures = new HashMap<>();

	private int maximumFailures = Integer.MAX_VALUE;

	private Consumer<TerminatedTask> observer = (termination) -> {
	};

	private long eventCount;

	AcknowledgedEnds(Consumer<String> violations) {
		this.violations = violations;
	}

	/**
	 * Sets how often each task may fail.
	 * @param maximum the number of failures after which it must not be started
	 */
	void limitFailures(int maximum) {
		this.maximumFailures = maximum;
	}

	/**
	 * Sets what is called with each end that a worker is told to forget.
	 * @param acknowledged called when the worker is told so
	 */
	void observe(Consumer<TerminatedTask> acknowledged) {
		this.observer = acknowledged;
	}

	/**
	 * Records that a worker executes a start.
	 * @param task the task
	 * @param fencingToken the fencing token in the order
	 * @param orderedMillis when the order was sent
	 */
	void started(TaskKey task, long fencingToken, long orderedMillis) {
		boolean isKnownToOwner = this.afterLapse.getOrDefault(task, List.of())
			.stream()
			.anyMatch((known) -> known.fencingToken() <= fencingToken && known.orderedMillis() <= orderedMillis);
		if (isKnownToOwner || this.acknowledgedTasks.contains(task)) {
			this.violations.accept("start after the acknowledged termination of " + task);
		}
		if (this.acknowledgedFailures.getOrDefault(task, 0) >= this.maximumFailures) {
			this.violations.accept("start after the last allowed failure of " + task);
		}
		this.lastStarts.put(task, ++this.eventCount);
	}

	void ended(Object worker, TerminatedTask termination) {
		if (termination.reason() == TerminationReason.DONE) {
			this.unacknowledged.computeIfAbsent(worker, (key) -> new HashMap<>())
				.put(termination.sequence(), new End(termination.task(), ++this.eventCount));
		}
		if (termination.reason() == TerminationReason.FAILED) {
			this.unacknowledgedFailures.computeIfAbsent(worker, (key) -> new HashMap<>())
				.put(termination.sequence(), termination.task());
		}
	}

	void leaseLapsed(Object worker) {
		this.unacknowledged.getOrDefault(worker, Map.of()).values().forEach((end) -> end.lapsed = true);
		this.unacknowledgedFailures.remove(worker);
	}

	/**
	 * Records that a worker is told to forget an end.
	 * @param worker the worker
	 * @param termination the end
	 * @param fencingToken the fencing token in the order
	 * @param orderedMillis when the order was sent
	 */
	void acknowledged(Object worker, TerminatedTask termination, long fencingToken, long orderedMillis) {
		this.observer.accept(termination);
		Optional
			.ofNullable(this.unacknowledgedFailures.computeIfAbsent(worker, (key) -> new HashMap<>())
				.remove(termination.sequence()))
			.ifPresent((task) -> this.acknowledgedFailures.merge(task, 1, Integer::sum));
		Optional
			.ofNullable(this.unacknowledged.computeIfAbsent(worker, (key) -> new HashMap<>())
				.remove(termination.sequence()))
			.ifPresent((end) -> acknowledged(end, new Acknowledgement(fencingToken, orderedMillis)));
	}

	private void acknowledged(End end, Acknowledgement acknowledgement) {
		TaskKey task = end.task;
		if (end.lapsed) {
			this.afterLapse.computeIfAbsent(task, (key) -> new ArrayList<>()).add(acknowledgement);
			return;
		}
		this.acknowledgedTasks.add(task);
		if (this.lastStarts.get(task) > end.event) {
			this.violations.accept("start before the acknowledgement of the termination of " + task);
		}
	}

	private record Acknowledgement(long fencingToken, long orderedMillis) {

	}

	private static final class End {

		private final TaskKey task;

		private final long event;

		private boolean lapsed;

		End(TaskKey task, long event) {
			this.task = task;
			this.event = event;
		}

	}

}
