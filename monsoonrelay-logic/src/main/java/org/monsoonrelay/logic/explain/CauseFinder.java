package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * Explains the outcome of a job and its causes from its log lines. Each sentence is based
 * on lines that are present; nothing is guessed. Not thread-safe.
 */
final class CauseFinder {

	private static final String ACCEPTED = "ACCEPTED";

	private final List<LogLine> lines;

	/**
	 * Create a finder.
	 * @param lines the lines of a timeline, causes first
	 */
	CauseFinder(List<LogLine> lines) {
		this.lines = lines;
	}

	List<String> causes() {
		List<String> causes = new ArrayList<>();
		addRefusals(causes);
		addUnstoredSubmissions(causes);
		addUnreadableRows(causes);
		addStartsAfterCompletion(causes);
		addStartsBesideCompletion(causes);
		addLostRuns(causes);
		addFailedStarts(causes);
		addUnexpectedRuns(causes);
		causes.addAll(StepWaitReport.sentences(this.lines));
		addOutcome(causes);
		return causes;
	}

	private List<LogLine> all(Class<?> decision) {
		return this.lines.stream().filter((line) -> line.isEvent(decision)).toList();
	}

	private Optional<LogLine> first(Class<?> decision) {
		return all(decision).stream().findFirst();
	}

	private void addRefusals(List<String> causes) {
		for (LogLine line : all(JobDecision.RequestRefused.class)) {
			String cause = "refused by " + line.source() + ": " + line.text("reason") + ", decided by configuration "
					+ line.text("configurationVersion");
			if (!causes.contains(cause)) {
				causes.add(cause);
			}
		}
	}

	private void addUnstoredSubmissions(List<String> causes) {
		for (LogLine line : all(JobDecision.SubmissionAnswered.class)) {
			String outcome = line.text("outcome");
			if (ACCEPTED.equals(outcome)) {
				continue;
			}
			String lost = all(ProcessDecision.DependencyLost.class).stream()
				.filter((dependency) -> dependency.source().equals(line.source()))
				.map((dependency) -> dependency.text("dependency") + " was lost there: " + dependency.text("reason"))
				.distinct()
				.collect(Collectors.joining("; "));
			if (lost.isEmpty()) {
				lost = "UNKNOWN".equals(outcome) ? "a try had no answer and none settled it while the caller waited"
						: "no way to store it was open; the table had turned writes of that host down in a row";
			}
			causes.add("answered " + outcome + " by " + line.source() + " after " + line.value("tookMillis") + " ms: "
					+ lost);
		}
	}

	private void addUnreadableRows(List<String> causes) {
		for (LogLine line : all(ProcessDecision.RowUnreadable.class)) {
			causes.add("left alone by " + line.source() + ": its row in " + line.text("table") + " cannot be read, "
					+ line.text("reason"));
		}
	}

	private void addStartsAfterCompletion(List<String> causes) {
		Map<String, LogLine> done = new HashMap<>();
		for (LogLine line : this.lines) {
			String task = line.text("task");
			if (line.isEvent(JobDecision.TaskEnded.class) && "DONE".equals(line.text("end"))) {
				done.putIfAbsent(task, line);
			}
			else if (line.isEvent(JobDecision.TaskPlaced.class) && done.containsKey(task)) {
				LogLine end = done.get(task);
				causes.add(task + " was placed again as attempt " + line.value("attempt") + " on " + line.text("worker")
						+ " by the owner of epoch " + line.value("fence") + " after attempt " + end.value("attempt")
						+ " had ended well on " + end.text("worker"));
			}
		}
	}

	// The lines of the former owner come first, even if it acted after its successor.
	private void addStartsBesideCompletion(List<String> causes) {
		Map<String, LogLine> placed = new HashMap<>();
		for (LogLine line : this.lines) {
			String task = line.text("task");
			if (line.isEvent(JobDecision.TaskPlaced.class)) {
				placed.put(task, line);
			}
			else if (line.isEvent(JobDecision.TaskEnded.class) && "DONE".equals(line.text("end"))
					&& placed.containsKey(task) && placed.get(task).value("attempt") > line.value("attempt")) {
				LogLine start = placed.get(task);
				causes.add(task + " was placed again as attempt " + start.value("attempt") + " on "
						+ start.text("worker") + " by " + start.source() + ", owner of epoch " + start.value("fence")
						+ ", while attempt " + line.value("attempt") + " ended well on " + line.text("worker") + ", as "
						+ line.source() + " learnt");
			}
		}
	}

	private void addLostRuns(List<String> causes) {
		Map<String, List<LogLine>> byWorker = new LinkedHashMap<>();
		for (LogLine line : all(JobDecision.TaskLost.class)) {
			byWorker.computeIfAbsent(line.text("worker"), (worker) -> new ArrayList<>()).add(line);
		}
		byWorker.forEach((worker, runs) -> {
			String unresponsive = all(PoolDecision.WorkerSilent.class).stream()
				.filter((line) -> line.text("worker").equals(worker))
				.map((line) -> "; it was silent before: " + line.text("reason"))
				.findFirst()
				.orElse("");
			LogLine run = runs.get(0);
			causes.add(runs.size() + " runs were lost with worker " + worker + ": " + run.text("reason") + unresponsive
					+ "; " + describeNextAttempt(run));
		});
		long startedByEarlierOwner = all(JobDecision.TaskEnded.class).stream()
			.filter((line) -> line.value("ranMillis") < 0)
			.count();
		if (startedByEarlierOwner > 0) {
			causes.add(startedByEarlierOwner + " runs ended that an earlier owner had started" + describeTakeOver());
		}
	}

	private String describeNextAttempt(LogLine lost) {
		return all(JobDecision.TaskPlaced.class).stream()
			.filter((line) -> line.text("task").equals(lost.text("task"))
					&& line.value("attempt") > lost.value("attempt"))
			.map((line) -> line.text("task") + " was placed again as attempt " + line.value("attempt") + " on "
					+ line.text("worker"))
			.findFirst()
			.orElse(lost.text("task") + " was not placed again");
	}

	private String describeTakeOver() {
		return first(PoolDecision.OwnershipTaken.class)
			.map((line) -> ": " + line.source() + " took the pool over from " + line.text("previousHolder")
					+ " as epoch " + line.value("epoch") + ", " + line.text("reason"))
			.orElse("");
	}

	private void addFailedStarts(List<String> causes) {
		Map<String, Integer> byOutcome = new LinkedHashMap<>();
		all(JobDecision.StartFailed.class)
			.forEach((line) -> byOutcome.merge(line.text("outcome") + " at " + line.text("worker"), 1, Integer::sum));
		if (!byOutcome.isEmpty()) {
			causes.add("starts that failed: " + byOutcome);
		}
		for (LogLine line : all(JobDecision.StartUnresolved.class)) {
			String worker = line.text("worker").isEmpty() ? "by an earlier owner" : "to " + line.text("worker");
			causes.add(line.text("task") + " waited, as the start of attempt " + line.value("attempt") + " sent "
					+ worker + " might still be executed; it counts as lost at an age of "
					+ line.value("lostAfterMillis") + " ms and was " + line.value("ageMillis") + " ms old");
		}
	}

	private void addUnexpectedRuns(List<String> causes) {
		for (LogLine line : all(JobDecision.UnexpectedRun.class)) {
			String sentTo = all(JobDecision.TaskPlaced.class).stream()
				.filter((placed) -> placed.text("task").equals(line.text("task"))
						&& placed.value("attempt") == line.value("attempt"))
				.map((placed) -> ", its start was sent to " + placed.text("worker") + " started at "
						+ placed.value("workerStartedMillis"))
				.findFirst()
				.orElse("");
			causes.add("attempt " + line.value("attempt") + " of " + line.text("task") + " was found active on "
					+ line.text("worker") + " started at " + line.value("workerStartedMillis") + sentTo
					+ "; the owner knew the task as " + line.text("taskStatus")
					+ ("true".equals(line.text("adopted")) ? " and let it go on" : " and stopped it"));
		}
	}

	private void addOutcome(List<String> causes) {
		Optional<LogLine> end = first(JobDecision.JobEnded.class);
		if (end.isPresent()) {
			LogLine line = end.get();
			if ("FAILED".equals(line.text("state"))) {
				causes.add("failed: " + describeFailures());
			}
			if ("CANCELLED".equals(line.text("state"))) {
				causes.add("cancelled" + first(JobDecision.CancellationAnswered.class)
					.map((answer) -> ", as a caller asked of " + answer.source())
					.orElse(""));
			}
			causes.add(new TimeBreakdown(this.lines, line).text() + describeRecoveries());
			return;
		}
		boolean isAccepted = all(JobDecision.SubmissionAnswered.class).stream()
			.anyMatch((line) -> ACCEPTED.equals(line.text("outcome")));
		if (this.lines.stream().anyMatch(EventCategories::isJobLineOfOwner)) {
			causes.add("no line tells its end: " + describeUnfinished() + describeRecoveries());
		}
		else if (isAccepted) {
			causes.add("accepted, but no line tells that an owner has learnt of it" + describeRecoveries());
		}
	}

	private String describeFailures() {
		return first(JobDecision.TaskGivenUp.class).map(this::describeCrashes).orElseGet(this::describeFailedRuns);
	}

	private String describeCrashes(LogLine givenUp) {
		String workers = all(JobDecision.TaskLost.class).stream()
			.filter((line) -> line.text("task").equals(givenUp.text("task")) && !"NONE".equals(line.text("crash")))
			.map((line) -> "attempt " + line.value("attempt") + " on " + line.text("worker") + " after "
					+ line.value("ranMillis") + " ms")
			.collect(Collectors.joining(", "));
		long possible = givenUp.value("possibleCrashes");
		return givenUp.text("task") + " is not started again, as " + givenUp.value("confirmedCrashes")
				+ " workers crashed under it" + ((possible > 0) ? " and " + possible + " may have" : "") + ": "
				+ workers;
	}

	private String describeFailedRuns() {
		Map<String, List<String>> failed = new LinkedHashMap<>();
		for (LogLine line : all(JobDecision.TaskEnded.class)) {
			if ("FAILED".equals(line.text("end"))) {
				failed.computeIfAbsent(line.text("task"), (task) -> new ArrayList<>())
					.add("attempt " + line.value("attempt") + " on " + line.text("worker"));
			}
		}
		return failed.entrySet()
			.stream()
			.max((one, other) -> Integer.compare(one.getValue().size(), other.getValue().size()))
			.map((most) -> failed.size() + " tasks failed, most often " + most.getKey() + ": "
					+ String.join(", ", most.getValue()))
			.orElse("no line tells which task");
	}

	private String describeUnfinished() {
		Map<String, LogLine> running = new LinkedHashMap<>();
		for (LogLine line : this.lines) {
			String run = line.text("task") + " attempt " + line.text("attempt");
			if (line.isEvent(JobDecision.TaskPlaced.class)) {
				running.put(run, line);
			}
			else if (line.isEvent(JobDecision.TaskEnded.class) || line.isEvent(JobDecision.TaskLost.class)) {
				running.remove(run);
			}
		}
		if (running.isEmpty()) {
			return PendingStepReport.text(this.lines);
		}
		Map.Entry<String, LogLine> one = running.entrySet().iterator().next();
		String runs = running.size() + " runs were placed whose end no line tells, such as " + one.getKey() + " on "
				+ one.getValue().text("worker");
		return PendingStepReport.hasUnplacedQueriedStep(this.lines) ? PendingStepReport.text(this.lines) + "; " + runs
				: runs;
	}

	// An owner that has not loaded all jobs yet places no tasks of the missing ones, so
	// each take-over may explain a delay.
	private String describeRecoveries() {
		StringBuilder text = new StringBuilder();
		for (LogLine taken : all(PoolDecision.OwnershipTaken.class)) {
			long epoch = taken.value("epoch");
			text.append("; ")
				.append(taken.source())
				.append(" took the pool over as epoch ")
				.append(epoch)
				.append(" (")
				.append(taken.text("reason"))
				.append("), ")
				.append(describeDuration(PoolDecision.OwnershipSettled.class, epoch, "had loaded all jobs"))
				.append(", ")
				.append(describeDuration(PoolDecision.WorkersAccounted.class, epoch, "had heard of all workers"));
		}
		return text.toString();
	}

	private String describeDuration(Class<?> decision, long epoch, String what) {
		return all(decision).stream()
			.filter((line) -> line.value("epoch") == epoch)
			.map((line) -> what + " after " + line.value("tookMillis") + " ms")
			.findFirst()
			.orElse("no line tells that it " + what);
	}

}
