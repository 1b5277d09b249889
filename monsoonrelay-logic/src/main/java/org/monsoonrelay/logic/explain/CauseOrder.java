package org.monsoonrelay.logic.explain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.events.JobDecision;

/**
 * Puts lines of several processes into one order. Invariants: the lines of one process
 * stay in the order in which it wrote them; over processes an owner's lines come before
 * those of a later epoch, a task's earlier attempt before a later one, a caller's answer
 * before what the owner made of the job, and a cancellation before the end that it
 * brought. Times of day are not looked at. If lines name causes in a circle, the first of
 * the earliest epoch goes on. Stateless and thread-safe.
 */
final class CauseOrder {

	private static final String CANCELLED = "CANCELLED";

	private static final Comparator<Told> BY_SIGHT = Comparator.comparingLong(CauseOrder::rank)
		.thenComparingLong((told) -> told.line().number());

	private CauseOrder() {
	}

	/**
	 * Order lines.
	 * @param lines the lines, those of one process in its order
	 * @return all of them, causes first
	 */
	static List<Told> of(List<Told> lines) {
		Map<String, Deque<Told>> processes = new LinkedHashMap<>();
		lines
			.forEach((told) -> processes.computeIfAbsent(told.line().source(), (name) -> new ArrayDeque<>()).add(told));
		List<Told> ordered = new ArrayList<>(lines.size());
		while (!processes.isEmpty()) {
			List<Told> heads = processes.values().stream().map(Deque::peek).toList();
			Told next = heads.stream()
				.filter((head) -> isFree(head, processes.values()))
				.min(BY_SIGHT)
				.orElseGet(() -> heads.stream().min(BY_SIGHT).orElseThrow());
			ordered.add(next);
			Deque<Told> rest = processes.get(next.line().source());
			rest.remove();
			if (rest.isEmpty()) {
				processes.remove(next.line().source());
			}
		}
		return ordered;
	}

	// Callers' answers first, a cancellation as late as what follows from it lets it be.
	private static long rank(Told told) {
		if (told.line().is(JobDecision.CancellationAnswered.class)) {
			return Long.MAX_VALUE;
		}
		return Vocabulary.isGateways(told.line()) ? Long.MIN_VALUE : told.epoch();
	}

	private static boolean isFree(Told head, Collection<Deque<Told>> processes) {
		return processes.stream()
			.filter((rest) -> !rest.peek().line().source().equals(head.line().source()))
			.noneMatch((rest) -> rest.stream().anyMatch((other) -> isCause(other, head)));
	}

	private static boolean isCause(Told cause, Told effect) {
		if (cause.epoch() != effect.epoch() && cause.epoch() != Told.NONE && effect.epoch() != Told.NONE) {
			return cause.epoch() < effect.epoch();
		}
		LogLine earlier = cause.line();
		LogLine later = effect.line();
		if (earlier.is(JobDecision.CancellationAnswered.class)) {
			return later.is(JobDecision.JobEnded.class) && CANCELLED.equals(later.text("state"));
		}
		boolean isSameTask = earlier.has("task") && earlier.text("task").equals(later.text("task"));
		if (!isSameTask) {
			return false;
		}
		long attempt = earlier.value("attempt");
		return attempt < later.value("attempt") || (attempt == later.value("attempt")
				&& earlier.is(JobDecision.TaskPlaced.class) && !later.is(JobDecision.TaskPlaced.class));
	}

}
