package org.monsoonrelay.logic.rack;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.model.job.AttemptId;

/**
 * Worker assignments of attempts, and the attempt events that queue owners have not yet
 * acknowledged. At most the latest event of each attempt is kept. Invariants: every
 * attempt with an event is assigned to a worker; a reported end stays until it is
 * acknowledged, and only another end may replace it. Not thread-safe: confined to the
 * control thread.
 */
final class AttemptEvents {

	private final Map<AttemptId, AttemptEvent> unacknowledged = new LinkedHashMap<>();

	private final Map<AttemptId, TrackedWorker> workers = new HashMap<>();

	private final Consumer<AttemptEvent> newEventListener;

	/**
	 * Create an instance without attempts.
	 * @param newEventListener called for each new event, but not for repetitions
	 */
	AttemptEvents(Consumer<AttemptEvent> newEventListener) {
		this.newEventListener = newEventListener;
	}

	/**
	 * Return the worker that an attempt is assigned to.
	 * @param attempt the attempt
	 * @return the worker, or empty if the attempt is not assigned
	 */
	Optional<TrackedWorker> worker(AttemptId attempt) {
		return Optional.ofNullable(this.workers.get(attempt));
	}

	void assign(AttemptId attempt, TrackedWorker tracked) {
		this.workers.put(attempt, tracked);
	}

	void remove(AttemptId attempt) {
		this.workers.remove(attempt);
		this.unacknowledged.remove(attempt);
	}

	/**
	 * Remove all attempts that are assigned to the given workers, with their events.
	 * @param removedWorkers the workers
	 */
	void removeAllOn(Collection<TrackedWorker> removedWorkers) {
		Set<AttemptId> attempts = this.workers.entrySet()
			.stream()
			.filter((entry) -> removedWorkers.contains(entry.getValue()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		attempts.forEach(this::remove);
	}

	/**
	 * Queue an event for the queue owner and assign the attempt to the worker. Ignored if
	 * a reported end is still unacknowledged and the event is not an end, or if the event
	 * only repeats an acknowledged {@link AttemptEventKind#RUNNING} event.
	 * @param event the event
	 * @param tracked the worker that the attempt is placed on
	 */
	void publish(AttemptEvent event, TrackedWorker tracked) {
		AttemptEvent pending = this.unacknowledged.get(event.attempt());
		if (pending != null && pending.kind().isReportedByWorker() && !event.kind().isReportedByWorker()) {
			return;
		}
		TrackedWorker previousWorker = this.workers.put(event.attempt(), tracked);
		boolean alreadyAcknowledged = previousWorker == tracked && event.kind() == AttemptEventKind.RUNNING
				&& tracked.isRunningAcknowledged(event.attempt());
		if (!alreadyAcknowledged || pending != null) {
			if (!event.equals(this.unacknowledged.put(event.attempt(), event))) {
				this.newEventListener.accept(event);
			}
		}
	}

	/**
	 * Queue the {@link AttemptEventKind#RUNNING} event of an attempt again, unless
	 * another event of the attempt is unacknowledged.
	 * @param attempt the attempt
	 * @param tracked the worker that runs the attempt
	 */
	void republishRunning(AttemptId attempt, TrackedWorker tracked) {
		this.unacknowledged.putIfAbsent(attempt, tracked.createEvent(attempt, AttemptEventKind.RUNNING));
	}

	/**
	 * Queue the {@link AttemptEventKind#RUNNING} events of a team again, for all attempts
	 * whose event had been acknowledged.
	 * @param team the team
	 */
	void republishRunning(String team) {
		this.workers.forEach((attempt, tracked) -> {
			if (tracked.isRunningAcknowledged(attempt) && tracked.team(attempt).equals(team)) {
				republishRunning(attempt, tracked);
			}
		});
	}

	/**
	 * Return the unacknowledged events.
	 * @return the events by team
	 */
	Map<String, List<AttemptEvent>> unacknowledgedByTeam() {
		return this.unacknowledged.values()
			.stream()
			.collect(Collectors.groupingBy((event) -> this.workers.get(event.attempt()).team(event.attempt())));
	}

	/**
	 * Handle the acknowledgement of an event by its queue owner. Ignored if a newer event
	 * has replaced the acknowledged one.
	 * @param event the event
	 */
	void acknowledge(AttemptEvent event) {
		if (!event.equals(this.unacknowledged.get(event.attempt()))) {
			return;
		}
		this.unacknowledged.remove(event.attempt());
		TrackedWorker tracked = this.workers.get(event.attempt());
		if (event.kind() == AttemptEventKind.RUNNING) {
			tracked.markRunningAcknowledged(event.attempt());
		}
		else if (event.kind() != AttemptEventKind.LAPSED) {
			this.workers.remove(event.attempt());
			tracked.addForget(event.attempt());
		}
		else if (!tracked.worker().attempts().contains(event.attempt())) {
			this.workers.remove(event.attempt());
		}
	}

}
