package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * The successful ends of tasks and their acknowledgements. Reports a start after an end
 * that is acknowledged then or later. If the lease of the worker lapsed between the end
 * and its acknowledgement, reports only starts after the acknowledgement by the owner
 * that sent it or a later one. Not thread-safe.
 */
final class AcknowledgedEnds {

	private final Consumer<String> violations;

	private final Map<TaskKey, Long> lastStarts = new HashMap<>();

	private final Set<TaskKey> acknowledgedTasks = new HashSet<>();

	// The lowest fencing token with which an end was acknowledged after a lapse.
	private final Map<TaskKey, Long> tokensAfterLapse = new HashMap<>();

	// By worker and sequence number.
	private final Map<Object, Map<Long, End>> unacknowledged = new HashMap<>();

	private long eventCount;

	AcknowledgedEnds(Consumer<String> violations) {
		this.violations = violations;
	}

	void started(TaskKey task, long fencingToken) {
		boolean isKnownToOwner = this.tokensAfterLapse.getOrDefault(task, Long.MAX_VALUE) <= fencingToken;
		if (isKnownToOwner || this.acknowledgedTasks.contains(task)) {
			this.violations.accept("start after the acknowledged termination of " + task);
		}
		this.lastStarts.put(task, ++this.eventCount);
	}

	void ended(Object worker, TerminatedTask termination) {
		if (termination.reason() == TerminationReason.DONE) {
			this.unacknowledged.computeIfAbsent(worker, (key) -> new HashMap<>())
				.put(termination.sequence(), new End(termination.task(), ++this.eventCount));
		}
	}

	void leaseLapsed(Object worker) {
		this.unacknowledged.getOrDefault(worker, Map.of()).values().forEach((end) -> end.lapsed = true);
	}

	void acknowledged(Object worker, TerminatedTask termination, long fencingToken) {
		Optional
			.ofNullable(this.unacknowledged.computeIfAbsent(worker, (key) -> new HashMap<>())
				.remove(termination.sequence()))
			.ifPresent((end) -> acknowledged(end, fencingToken));
	}

	private void acknowledged(End end, long fencingToken) {
		TaskKey task = end.task;
		if (end.lapsed) {
			this.tokensAfterLapse.merge(task, fencingToken, Math::min);
			return;
		}
		this.acknowledgedTasks.add(task);
		if (this.lastStarts.get(task) > end.event) {
			this.violations.accept("start before the acknowledgement of the termination of " + task);
		}
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
