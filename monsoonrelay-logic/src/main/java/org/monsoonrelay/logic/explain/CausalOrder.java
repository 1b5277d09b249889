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
final class CausalOrder {

	private static final String CANCELLED = "CANCELLED";

	private static final Comparator<EpochLine> BY_RANK_AND_POSITION = Comparator.comparingLong(CausalOrder::rank)
		.thenComparingLong((told) -> told.line().number());

	private CausalOrder() {
	}

	/**
	 * Order lines.
	 * @param lines the lines, those of one process in its order
	 * @return all of them, causes first
	 */
	static List<EpochLine> sort(List<EpochLine> lines) {
		Map<String, Deque<EpochLine>> processes = new LinkedHashMap<>();
		lines
			.forEach((told) -> processes.computeIfAbsent(told.line().source(), (name) -> new ArrayDeque<>()).add(told));
		List<EpochLine> ordered = new ArrayList<>(lines.size());
		while (!processes.isEmpty()) {
			List<EpochLine> heads = processes.values().stream().map(Deque::peek).toList();
			EpochLine next = heads.stream()
				.filter((head) -> hasNoPendingCause(head, processes.values()))
				.min(BY_RANK_AND_POSITION)
				.orElseGet(() -> heads.stream().min(BY_RANK_AND_POSITION).orElseThrow());
			ordered.add(next);
			Deque<EpochLine> rest = processes.get(next.line().source());
			rest.remove();
			if (rest.isEmpty()) {
				processes.remove(next.line().source());
			}
		}
		return ordered;
	}

	// Callers' answers first, a cancellation as late as what follows from it lets it be.
	private static long rank(EpochLine told) {
		if (told.line().isEvent(JobDecision.CancellationAnswered.class)) {
			return Long.MAX_VALUE;
		}
		return EventCategories.isIndependentOfOwner(told.line()) ? Long.MIN_VALUE : told.epoch();
	}

	private static boolean hasNoPendingCause(EpochLine head, Collection<Deque<EpochLine>> processes) {
		return processes.stream()
			.filter((rest) -> !rest.peek().line().source().equals(head.line().source()))
			.noneMatch((rest) -> rest.stream().anyMatch((other) -> isCause(other, head)));
	}

	private static boolean isCause(EpochLine cause, EpochLine effect) {
		if (cause.epoch() != effect.epoch() && cause.epoch() != EpochLine.NO_EPOCH
				&& effect.epoch() != EpochLine.NO_EPOCH) {
			return cause.epoch() < effect.epoch();
		}
		LogLine earlier = cause.line();
		LogLine later = effect.line();
		if (earlier.isEvent(JobDecision.CancellationAnswered.class)) {
			return later.isEvent(JobDecision.JobEnded.class) && CANCELLED.equals(later.text("state"));
		}
		boolean isSameTask = earlier.hasField("task") && earlier.text("task").equals(later.text("task"));
		if (!isSameTask) {
			return false;
		}
		long attempt = earlier.value("attempt");
		return attempt < later.value("attempt") || (attempt == later.value("attempt")
				&& earlier.isEvent(JobDecision.TaskPlaced.class) && !later.isEvent(JobDecision.TaskPlaced.class));
	}

}
