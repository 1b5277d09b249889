package org.monsoonrelay.logic.explain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * What lines say of owners, workers and dependencies, kept up to a bound, and which of it
 * bears on a job. Not thread-safe.
 */
final class ContextLines {

	/** Lines that are kept, the oldest give way. */
	private static final int MAX_LINES = 20_000;

	private static final List<String> EVENT_PREFIXES = List.of("\"Ownership", "\"Worker", "\"Dependency",
			"\"ProcessStarted\"");

	private final Deque<EpochLine> lines = new ArrayDeque<>();

	static boolean mayBeRelevant(String text) {
		return EVENT_PREFIXES.stream().anyMatch(text::contains);
	}

	void add(EpochLine told) {
		LogLine line = told.line();
		if (!EventCategories.isOwnershipEvent(line) && !EventCategories.isWorkerEvent(line)
				&& !line.hasField("dependency")) {
			return;
		}
		if (this.lines.size() == MAX_LINES) {
			this.lines.remove();
		}
		this.lines.add(told);
	}

	/**
	 * What bears on a job.
	 * @param own the job's lines in the order in which they were read
	 * @return the lines
	 */
	List<EpochLine> relevantTo(List<EpochLine> own) {
		List<EpochLine> bearing = new ArrayList<>(ownershipLines(own));
		bearing.addAll(workerLines(own));
		bearing.addAll(dependencyLines(own));
		return bearing;
	}

	private static boolean hasEnded(List<EpochLine> own) {
		return own.stream().anyMatch((told) -> told.line().isEvent(JobDecision.JobEnded.class));
	}

	// A job that ended under the owner that learnt it has seen no other.
	private List<EpochLine> ownershipLines(List<EpochLine> own) {
		if (own.stream().allMatch((told) -> told.line().isEvent(JobDecision.RequestRefused.class))) {
			return List.of();
		}
		LongSummaryStatistics epochs = own.stream()
			.mapToLong(EpochLine::epoch)
			.filter((epoch) -> epoch != EpochLine.NO_EPOCH)
			.summaryStatistics();
		boolean isKnown = epochs.getCount() > 0;
		long last = (hasEnded(own) && isKnown) ? epochs.getMax() : Long.MAX_VALUE;
		Map<Long, Long> learnt = own.stream()
			.filter((told) -> told.epoch() != EpochLine.NO_EPOCH)
			.collect(Collectors.toMap(EpochLine::epoch, (told) -> told.line().number(), Math::min));
		return this.lines.stream().filter((told) -> EventCategories.isOwnershipEvent(told.line())).filter((told) -> {
			long epoch = told.line().value("epoch");
			boolean isFirst = isKnown && epoch == epochs.getMin();
			return epoch <= last && (!isKnown || epoch > epochs.getMin()
					|| (isFirst && told.line().number() > learnt.get(epoch) && epoch < last));
		}).toList();
	}

	private List<EpochLine> workerLines(List<EpochLine> own) {
		Map<String, String> open = new HashMap<>();
		Set<String> doubtful = new HashSet<>();
		for (EpochLine told : own) {
			LogLine line = told.line();
			String run = line.text("task") + ' ' + line.text("attempt");
			if (line.isEvent(JobDecision.TaskPlaced.class)) {
				open.put(run, line.text("worker"));
			}
			else if (line.isEvent(JobDecision.TaskEnded.class)) {
				open.remove(run);
			}
			else if (line.isEvent(JobDecision.TaskLost.class) || line.isEvent(JobDecision.StartFailed.class)) {
				doubtful.add(line.text("worker"));
			}
		}
		doubtful.addAll(open.values());
		Map<String, LongSummaryStatistics> spans = own.stream()
			.filter((told) -> !EventCategories.isIndependentOfOwner(told.line()))
			.collect(Collectors.groupingBy((told) -> told.line().source(),
					Collectors.summarizingLong((told) -> told.line().number())));
		boolean isEnded = hasEnded(own);
		return this.lines.stream().filter((told) -> {
			LogLine line = told.line();
			LongSummaryStatistics span = spans.get(line.source());
			return EventCategories.isWorkerEvent(line) && doubtful.contains(line.text("worker")) && span != null
					&& line.number() > span.getMin() && (!isEnded || line.number() < span.getMax());
		}).toList();
	}

	// What a process that answered a caller had lost by then.
	private List<EpochLine> dependencyLines(List<EpochLine> own) {
		Set<EpochLine> bearing = new HashSet<>();
		for (EpochLine answer : own) {
			LogLine line = answer.line();
			boolean isAnswer = line.isEvent(JobDecision.SubmissionAnswered.class)
					|| line.isEvent(JobDecision.CancellationAnswered.class);
			if (!isAnswer || "ACCEPTED".equals(line.text("outcome"))) {
				continue;
			}
			Map<String, EpochLine> lost = new HashMap<>();
			for (EpochLine told : this.lines) {
				boolean isBefore = told.line().source().equals(line.source()) && told.line().number() < line.number();
				if (isBefore && told.line().isEvent(ProcessDecision.DependencyLost.class)) {
					lost.put(told.line().text("dependency"), told);
				}
				else if (isBefore && told.line().isEvent(ProcessDecision.DependencyBack.class)) {
					lost.remove(told.line().text("dependency"));
				}
			}
			bearing.addAll(lost.values());
		}
		return List.copyOf(bearing);
	}

}
