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
 * Which attempt is on which worker, and the events that queue owners have not
 * acknowledged yet. Invariants: each event's attempt has its worker here; an end waits
 * for its acknowledgement whatever is heard after it. Not thread-safe: confined to the
 * control thread.
 */
final class AttemptEvents {

	private final Map<AttemptId, AttemptEvent> unacknowledged = new LinkedHashMap<>();

	private final Map<AttemptId, TrackedWorker> workers = new HashMap<>();

	private final Consumer<AttemptEvent> newEventListener;

	/**
	 * Begin without attempts.
	 * @param judge told of each new event
	 */
	AttemptEvents(Consumer<AttemptEvent> judge) {
		this.newEventListener = judge;
	}

	/**
	 * The worker that an attempt is on.
	 * @param attempt the attempt
	 * @return the worker, if one is known
	 */
	Optional<TrackedWorker> worker(AttemptId attempt) {
		return Optional.ofNullable(this.workers.get(attempt));
	}

	void assign(AttemptId attempt, TrackedWorker slot) {
		this.workers.put(attempt, slot);
	}

	void remove(AttemptId attempt) {
		this.workers.remove(attempt);
		this.unacknowledged.remove(attempt);
	}

	/**
	 * Forget all that is on some workers.
	 * @param gone the workers
	 */
	void removeAllOn(Collection<TrackedWorker> gone) {
		Set<AttemptId> attempts = this.workers.entrySet()
			.stream()
			.filter((entry) -> gone.contains(entry.getValue()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		attempts.forEach(this::remove);
	}

	/**
	 * Take in what a worker's slot tells of an attempt.
	 * @param event the event
	 * @param slot the slot
	 */
	void publish(AttemptEvent event, TrackedWorker slot) {
		AttemptEvent present = this.unacknowledged.get(event.attempt());
		if (present != null && present.kind().isReportedByWorker() && !event.kind().isReportedByWorker()) {
			return;
		}
		TrackedWorker before = this.workers.put(event.attempt(), slot);
		boolean known = before == slot && event.kind() == AttemptEventKind.RUNNING
				&& slot.isRunningAcknowledged(event.attempt());
		if (!known || present != null) {
			if (!event.equals(this.unacknowledged.put(event.attempt(), event))) {
				this.newEventListener.accept(event);
			}
		}
	}

	/**
	 * Post again that an attempt runs, unless something else of it waits.
	 * @param attempt the attempt
	 * @param slot the worker that has announced that it runs
	 */
	void republishRunning(AttemptId attempt, TrackedWorker slot) {
		this.unacknowledged.putIfAbsent(attempt, slot.createEvent(attempt, AttemptEventKind.RUNNING));
	}

	/**
	 * Post again all that is known of a team's attempts.
	 * @param team the team
	 */
	void republishRunning(String team) {
		this.workers.forEach((attempt, slot) -> {
			if (slot.isRunningAcknowledged(attempt) && slot.team(attempt).equals(team)) {
				republishRunning(attempt, slot);
			}
		});
	}

	/**
	 * Events not yet acknowledged.
	 * @return the events, by team
	 */
	Map<String, List<AttemptEvent>> unacknowledgedByTeam() {
		return this.unacknowledged.values()
			.stream()
			.collect(Collectors.groupingBy((event) -> this.workers.get(event.attempt()).team(event.attempt())));
	}

	/**
	 * A queue owner has taken in an event. Without effect if another one has come since.
	 * @param event the event
	 */
	void acknowledge(AttemptEvent event) {
		if (!event.equals(this.unacknowledged.get(event.attempt()))) {
			return;
		}
		this.unacknowledged.remove(event.attempt());
		TrackedWorker slot = this.workers.get(event.attempt());
		if (event.kind() == AttemptEventKind.RUNNING) {
			slot.markRunningAcknowledged(event.attempt());
		}
		else if (event.kind() != AttemptEventKind.LAPSED) {
			this.workers.remove(event.attempt());
			slot.addForget(event.attempt());
		}
		else if (!slot.worker().attempts().contains(event.attempt())) {
			this.workers.remove(event.attempt());
		}
	}

}
