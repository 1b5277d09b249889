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
 * Sorts the lines of several processes so that causes precede effects. Invariants: the
 * lines of one process stay in the order in which it wrote them; across processes, an
 * owner's lines come before those of a later epoch, an earlier attempt of a task before a
 * later one, the answer to a caller before the owner's processing of the job, and a
 * cancellation before the end of the job that it caused. Wall-clock times are ignored,
 * because the clocks of hosts are not comparable. If the lines form a causal cycle, the
 * first line of the earliest epoch is taken next. Stateless and thread-safe.
 */
final class CausalOrder {

	private static final String CANCELLED = "CANCELLED";

	private static final Comparator<EpochLine> BY_RANK_AND_POSITION = Comparator.comparingLong(CausalOrder::rank)
		.thenComparingLong((entry) -> entry.line().number());

	private CausalOrder() {
	}

	/**
	 * Sort lines by cause.
	 * @param lines the lines, those of each process in the order in which it wrote them
	 * @return all lines, causes first
	 */
	static List<EpochLine> sort(List<EpochLine> lines) {
		Map<String, Deque<EpochLine>> processes = new LinkedHashMap<>();
		lines.forEach(
				(entry) -> processes.computeIfAbsent(entry.line().source(), (name) -> new ArrayDeque<>()).add(entry));
		List<EpochLine> ordered = new ArrayList<>(lines.size());
		while (!processes.isEmpty()) {
			List<EpochLine> nextLines = processes.values().stream().map(Deque::peek).toList();
			EpochLine next = nextLines.stream()
				.filter((candidate) -> hasNoPendingCause(candidate, processes.values()))
				.min(BY_RANK_AND_POSITION)
				.orElseGet(() -> nextLines.stream().min(BY_RANK_AND_POSITION).orElseThrow());
			ordered.add(next);
			Deque<EpochLine> rest = processes.get(next.line().source());
			rest.remove();
			if (rest.isEmpty()) {
				processes.remove(next.line().source());
			}
		}
		return ordered;
	}

	// Answers to callers come first. A cancellation comes last among the candidates,
	// right
	// before the first line that it caused.
	private static long rank(EpochLine entry) {
		if (entry.line().isEvent(JobDecision.CancellationAnswered.class)) {
			return Long.MAX_VALUE;
		}
		return EventCategories.isIndependentOfOwner(entry.line()) ? Long.MIN_VALUE : entry.epoch();
	}

	private static boolean hasNoPendingCause(EpochLine candidate, Collection<Deque<EpochLine>> processes) {
		return processes.stream()
			.filter((rest) -> !rest.peek().line().source().equals(candidate.line().source()))
			.noneMatch((rest) -> rest.stream().anyMatch((other) -> isCause(other, candidate)));
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
