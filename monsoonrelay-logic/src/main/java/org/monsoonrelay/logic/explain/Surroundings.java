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
final class Surroundings {

	/** Lines that are kept, the oldest give way. */
	private static final int MOST_KEPT = 20_000;

	private static final List<String> MARKS = List.of("\"Ownership", "\"Worker", "\"Dependency", "\"ProcessStarted\"");

	private final Deque<Told> kept = new ArrayDeque<>();

	static boolean mayConcern(String text) {
		return MARKS.stream().anyMatch(text::contains);
	}

	void take(Told told) {
		LogLine line = told.line();
		if (!Vocabulary.isOfOwnership(line) && !Vocabulary.isOfWorker(line) && !line.has("dependency")) {
			return;
		}
		if (this.kept.size() == MOST_KEPT) {
			this.kept.remove();
		}
		this.kept.add(told);
	}

	/**
	 * What bears on a job.
	 * @param own the job's lines in the order in which they were read
	 * @return the lines
	 */
	List<Told> of(List<Told> own) {
		List<Told> bearing = new ArrayList<>(ownership(own));
		bearing.addAll(workers(own));
		bearing.addAll(dependencies(own));
		return bearing;
	}

	private static boolean isEnded(List<Told> own) {
		return own.stream().anyMatch((told) -> told.line().is(JobDecision.JobEnded.class));
	}

	// A job that ended under the owner that learnt it has seen no other.
	private List<Told> ownership(List<Told> own) {
		if (own.stream().allMatch((told) -> told.line().is(JobDecision.RequestRefused.class))) {
			return List.of();
		}
		LongSummaryStatistics epochs = own.stream()
			.mapToLong(Told::epoch)
			.filter((epoch) -> epoch != Told.NONE)
			.summaryStatistics();
		boolean isKnown = epochs.getCount() > 0;
		long last = (isEnded(own) && isKnown) ? epochs.getMax() : Long.MAX_VALUE;
		Map<Long, Long> learnt = own.stream()
			.filter((told) -> told.epoch() != Told.NONE)
			.collect(Collectors.toMap(Told::epoch, (told) -> told.line().number(), Math::min));
		return this.kept.stream().filter((told) -> Vocabulary.isOfOwnership(told.line())).filter((told) -> {
			long epoch = told.line().value("epoch");
			boolean isFirst = isKnown && epoch == epochs.getMin();
			return epoch <= last && (!isKnown || epoch > epochs.getMin()
					|| (isFirst && told.line().number() > learnt.get(epoch) && epoch < last));
		}).toList();
	}

	private List<Told> workers(List<Told> own) {
		Map<String, String> open = new HashMap<>();
		Set<String> doubtful = new HashSet<>();
		for (Told told : own) {
			LogLine line = told.line();
			String run = line.text("task") + ' ' + line.text("attempt");
			if (line.is(JobDecision.TaskPlaced.class)) {
				open.put(run, line.text("worker"));
			}
			else if (line.is(JobDecision.TaskEnded.class)) {
				open.remove(run);
			}
			else if (line.is(JobDecision.TaskLost.class) || line.is(JobDecision.StartFailed.class)) {
				doubtful.add(line.text("worker"));
			}
		}
		doubtful.addAll(open.values());
		Map<String, LongSummaryStatistics> spans = own.stream()
			.filter((told) -> !Vocabulary.isGateways(told.line()))
			.collect(Collectors.groupingBy((told) -> told.line().source(),
					Collectors.summarizingLong((told) -> told.line().number())));
		boolean isEnded = isEnded(own);
		return this.kept.stream().filter((told) -> {
			LogLine line = told.line();
			LongSummaryStatistics span = spans.get(line.source());
			return Vocabulary.isOfWorker(line) && doubtful.contains(line.text("worker")) && span != null
					&& line.number() > span.getMin() && (!isEnded || line.number() < span.getMax());
		}).toList();
	}

	// What a process that answered a caller had lost by then.
	private List<Told> dependencies(List<Told> own) {
		Set<Told> bearing = new HashSet<>();
		for (Told answer : own) {
			LogLine line = answer.line();
			boolean isAnswer = line.is(JobDecision.SubmissionAnswered.class)
					|| line.is(JobDecision.CancellationAnswered.class);
			if (!isAnswer || "ACCEPTED".equals(line.text("outcome"))) {
				continue;
			}
			Map<String, Told> lost = new HashMap<>();
			for (Told told : this.kept) {
				boolean isBefore = told.line().source().equals(line.source()) && told.line().number() < line.number();
				if (isBefore && told.line().is(ProcessDecision.DependencyLost.class)) {
					lost.put(told.line().text("dependency"), told);
				}
				else if (isBefore && told.line().is(ProcessDecision.DependencyBack.class)) {
					lost.remove(told.line().text("dependency"));
				}
			}
			bearing.addAll(lost.values());
		}
		return List.copyOf(bearing);
	}

}
