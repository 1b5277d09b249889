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
 * Lines about owners, workers and dependencies, from which those that are relevant to a
 * job are selected. At most {@link #MAX_LINES} are kept. Not thread-safe.
 */
final class ContextLines {

	/** Lines that are kept at most; the oldest are discarded first. */
	private static final int MAX_LINES = 20_000;

	private static final List<String> EVENT_PREFIXES = List.of("\"Ownership", "\"Worker", "\"Dependency",
			"\"ProcessStarted\"");

	private final Deque<EpochLine> lines = new ArrayDeque<>();

	static boolean mayBeRelevant(String text) {
		return EVENT_PREFIXES.stream().anyMatch(text::contains);
	}

	void add(EpochLine entry) {
		LogLine line = entry.line();
		if (!EventCategories.isOwnershipEvent(line) && !EventCategories.isWorkerEvent(line)
				&& !line.hasField("dependency")) {
			return;
		}
		if (this.lines.size() == MAX_LINES) {
			this.lines.remove();
		}
		this.lines.add(entry);
	}

	/**
	 * Select the lines that are relevant to a job.
	 * @param jobLines the job's lines in the order in which they were read
	 * @return the relevant lines
	 */
	List<EpochLine> relevantTo(List<EpochLine> jobLines) {
		List<EpochLine> relevant = new ArrayList<>(ownershipLines(jobLines));
		relevant.addAll(workerLines(jobLines));
		relevant.addAll(dependencyLines(jobLines));
		return relevant;
	}

	private static boolean hasEnded(List<EpochLine> jobLines) {
		return jobLines.stream().anyMatch((entry) -> entry.line().isEvent(JobDecision.JobEnded.class));
	}

	// A job that ended under the owner that loaded it first is not affected by later
	// owners.
	private List<EpochLine> ownershipLines(List<EpochLine> jobLines) {
		if (jobLines.stream().allMatch((entry) -> entry.line().isEvent(JobDecision.RequestRefused.class))) {
			return List.of();
		}
		LongSummaryStatistics epochs = jobLines.stream()
			.mapToLong(EpochLine::epoch)
			.filter((epoch) -> epoch != EpochLine.NO_EPOCH)
			.summaryStatistics();
		boolean isKnown = epochs.getCount() > 0;
		long last = (hasEnded(jobLines) && isKnown) ? epochs.getMax() : Long.MAX_VALUE;
		Map<Long, Long> firstLineByEpoch = jobLines.stream()
			.filter((entry) -> entry.epoch() != EpochLine.NO_EPOCH)
			.collect(Collectors.toMap(EpochLine::epoch, (entry) -> entry.line().number(), Math::min));
		return this.lines.stream().filter((entry) -> EventCategories.isOwnershipEvent(entry.line())).filter((entry) -> {
			long epoch = entry.line().value("epoch");
			boolean isFirst = isKnown && epoch == epochs.getMin();
			return epoch <= last && (!isKnown || epoch > epochs.getMin()
					|| (isFirst && entry.line().number() > firstLineByEpoch.get(epoch) && epoch < last));
		}).toList();
	}

	private List<EpochLine> workerLines(List<EpochLine> jobLines) {
		Map<String, String> workerByOpenRun = new HashMap<>();
		Set<String> relevantWorkers = new HashSet<>();
		for (EpochLine entry : jobLines) {
			LogLine line = entry.line();
			String run = line.text("task") + ' ' + line.text("attempt");
			if (line.isEvent(JobDecision.TaskPlaced.class)) {
				workerByOpenRun.put(run, line.text("worker"));
			}
			else if (line.isEvent(JobDecision.TaskEnded.class)) {
				workerByOpenRun.remove(run);
			}
			else if (line.isEvent(JobDecision.TaskLost.class) || line.isEvent(JobDecision.StartFailed.class)) {
				relevantWorkers.add(line.text("worker"));
			}
		}
		relevantWorkers.addAll(workerByOpenRun.values());
		Map<String, LongSummaryStatistics> spans = jobLines.stream()
			.filter((entry) -> !EventCategories.isIndependentOfOwner(entry.line()))
			.collect(Collectors.groupingBy((entry) -> entry.line().source(),
					Collectors.summarizingLong((entry) -> entry.line().number())));
		boolean isEnded = hasEnded(jobLines);
		return this.lines.stream().filter((entry) -> {
			LogLine line = entry.line();
			LongSummaryStatistics span = spans.get(line.source());
			return EventCategories.isWorkerEvent(line) && relevantWorkers.contains(line.text("worker")) && span != null
					&& line.number() > span.getMin() && (!isEnded || line.number() < span.getMax());
		}).toList();
	}

	// Dependencies that were unavailable to a process when it answered a caller.
	private List<EpochLine> dependencyLines(List<EpochLine> jobLines) {
		Set<EpochLine> relevant = new HashSet<>();
		for (EpochLine answer : jobLines) {
			LogLine line = answer.line();
			boolean isAnswer = line.isEvent(JobDecision.SubmissionAnswered.class)
					|| line.isEvent(JobDecision.CancellationAnswered.class);
			if (!isAnswer || "ACCEPTED".equals(line.text("outcome"))) {
				continue;
			}
			Map<String, EpochLine> lost = new HashMap<>();
			for (EpochLine entry : this.lines) {
				boolean isBefore = entry.line().source().equals(line.source()) && entry.line().number() < line.number();
				if (isBefore && entry.line().isEvent(ProcessDecision.DependencyLost.class)) {
					lost.put(entry.line().text("dependency"), entry);
				}
				else if (isBefore && entry.line().isEvent(ProcessDecision.DependencyBack.class)) {
					lost.remove(entry.line().text("dependency"));
				}
			}
			relevant.addAll(lost.values());
		}
		return List.copyOf(relevant);
	}

}
