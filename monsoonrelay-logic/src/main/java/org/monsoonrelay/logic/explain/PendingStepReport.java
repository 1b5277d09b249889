package org.monsoonrelay.logic.explain;

import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.JobDecision;

/**
 * Describes what the last known step of an unfinished job waits for. Stateless and
 * thread-safe.
 */
final class PendingStepReport {

	private PendingStepReport() {
	}

	// A step whose tasks are named was placed, even if the lines of the starts are
	// missing.
	private static NavigableSet<String> placedSteps(List<LogLine> lines) {
		return steps(lines, (line) -> line.hasField("task"));
	}

	private static NavigableSet<String> unplacedQueriedSteps(List<LogLine> lines) {
		NavigableSet<String> queried = steps(lines, (line) -> line.isEvent(JobDecision.EligibilityAnswered.class)
				|| line.isEvent(JobDecision.EligibilityFailed.class));
		queried.removeAll(placedSteps(lines));
		return queried;
	}

	private static NavigableSet<String> steps(List<LogLine> lines, Predicate<LogLine> wanted) {
		return lines.stream().filter(wanted).map(LogLine::step).collect(Collectors.toCollection(TreeSet::new));
	}

	/**
	 * Whether an eligibility request was sent for a step that was not placed.
	 * @param lines the lines of a job
	 * @return {@code true} if there is such a step
	 */
	static boolean hasUnplacedQueriedStep(List<LogLine> lines) {
		return !unplacedQueriedSteps(lines).isEmpty();
	}

	static String text(List<LogLine> lines) {
		NavigableSet<String> placed = placedSteps(lines);
		NavigableSet<String> queried = unplacedQueriedSteps(lines);
		if (queried.isEmpty()) {
			return (placed.isEmpty() ? "no step was placed" : "no step after " + placed.last() + " was placed")
					+ ", and no line tells that it was asked who may run the next one";
		}
		String step = queried.last();
		List<LogLine> answers = linesOfStep(lines, step, JobDecision.EligibilityAnswered.class);
		List<LogLine> failed = linesOfStep(lines, step, JobDecision.EligibilityFailed.class);
		if (answers.isEmpty()) {
			return "step " + step + " was not placed: it could not be asked who may run it, " + failed.size()
					+ " calls failed, the last by " + failed.get(failed.size() - 1).text("host") + ": "
					+ failed.get(failed.size() - 1).text("reason");
		}
		LongSummaryStatistics allowed = answers.stream().mapToLong((line) -> line.value("allowed")).summaryStatistics();
		LongSummaryStatistics took = answers.stream().mapToLong((line) -> line.value("tookMillis")).summaryStatistics();
		return "step " + step + " was not placed: it was asked " + answers.size() + " times who may run it ("
				+ allowed.getMin() + " to " + allowed.getMax() + " workers allowed, " + took.getSum() + " ms in calls, "
				+ failed.size() + " calls failed)" + (StepWaitReport.mayWaitForRoom(linesOfStep(lines, step))
						? ", so that it waited for room on those" : "");
	}

	private static List<LogLine> linesOfStep(List<LogLine> lines, String step, Class<?> decision) {
		return linesOfStep(lines, step).stream().filter((line) -> line.isEvent(decision)).toList();
	}

	private static List<LogLine> linesOfStep(List<LogLine> lines, String step) {
		return lines.stream().filter((line) -> line.step().equals(step)).toList();
	}

}
