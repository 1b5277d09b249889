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

	private final Map<AttemptId, AttemptEvent> waiting = new LinkedHashMap<>();

	private final Map<AttemptId, WorkerSlot> slots = new HashMap<>();

	private final Consumer<AttemptEvent> judge;

	/**
	 * Begin without attempts.
	 * @param judge told of each new event
	 */
	AttemptEvents(Consumer<AttemptEvent> judge) {
		this.judge = judge;
	}

	/**
	 * The worker that an attempt is on.
	 * @param attempt the attempt
	 * @return the worker, if one is known
	 */
	Optional<WorkerSlot> slot(AttemptId attempt) {
		return Optional.ofNullable(this.slots.get(attempt));
	}

	void put(AttemptId attempt, WorkerSlot slot) {
		this.slots.put(attempt, slot);
	}

	void forget(AttemptId attempt) {
		this.slots.remove(attempt);
		this.waiting.remove(attempt);
	}

	/**
	 * Forget all that is on some workers.
	 * @param gone the workers
	 */
	void forgetAll(Collection<WorkerSlot> gone) {
		Set<AttemptId> attempts = this.slots.entrySet()
			.stream()
			.filter((entry) -> gone.contains(entry.getValue()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		attempts.forEach(this::forget);
	}

	/**
	 * Take in what a worker's slot tells of an attempt.
	 * @param event the event
	 * @param slot the slot
	 */
	void post(AttemptEvent event, WorkerSlot slot) {
		AttemptEvent present = this.waiting.get(event.attempt());
		if (present != null && present.kind().isEnd() && !event.kind().isEnd()) {
			return;
		}
		WorkerSlot before = this.slots.put(event.attempt(), slot);
		boolean known = before == slot && event.kind() == AttemptEventKind.RUNNING
				&& slot.announcedRunning(event.attempt());
		if (!known || present != null) {
			if (!event.equals(this.waiting.put(event.attempt(), event))) {
				this.judge.accept(event);
			}
		}
	}

	/**
	 * Post again that an attempt runs, unless something else of it waits.
	 * @param attempt the attempt
	 * @param slot the worker that has announced that it runs
	 */
	void postRunning(AttemptId attempt, WorkerSlot slot) {
		this.waiting.putIfAbsent(attempt, slot.event(attempt, AttemptEventKind.RUNNING));
	}

	/**
	 * Post again all that is known of a team's attempts.
	 * @param team the team
	 */
	void postRunning(String team) {
		this.slots.forEach((attempt, slot) -> {
			if (slot.announcedRunning(attempt) && slot.team(attempt).equals(team)) {
				postRunning(attempt, slot);
			}
		});
	}

	/**
	 * Events not yet acknowledged.
	 * @return the events, by team
	 */
	Map<String, List<AttemptEvent>> byTeam() {
		return this.waiting.values()
			.stream()
			.collect(Collectors.groupingBy((event) -> this.slots.get(event.attempt()).team(event.attempt())));
	}

	/**
	 * A queue owner has taken in an event. Without effect if another one has come since.
	 * @param event the event
	 */
	void acknowledge(AttemptEvent event) {
		if (!event.equals(this.waiting.get(event.attempt()))) {
			return;
		}
		this.waiting.remove(event.attempt());
		WorkerSlot slot = this.slots.get(event.attempt());
		if (event.kind() == AttemptEventKind.RUNNING) {
			slot.announceRunning(event.attempt());
		}
		else if (event.kind() != AttemptEventKind.LAPSED) {
			this.slots.remove(event.attempt());
			slot.forget(event.attempt());
		}
		else if (!slot.worker().attempts().contains(event.attempt())) {
			this.slots.remove(event.attempt());
		}
	}

}
