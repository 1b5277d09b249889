package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.JobDecision;

/**
 * Describes which steps of a job wait or waited for a start, and why. The times are those
 * that an owner measured: a wait lasted until its last line at least. Stateless and
 * thread-safe.
 */
final class StepWaitReport {

	private static final String NO_CAPACITY = "NO_CAPACITY";

	private static final Map<String, String> DESCRIPTIONS = Map.ofEntries(
			Map.entry("OWNER_RECOVERY", "not known yet what runs on the workers of the former owner"),
			Map.entry("LEASE_EXPIRED", "the owner's lease expired for too long to start tasks"),
			Map.entry("CANCELLATIONS_UNREAD", "not read yet whether the job was cancelled before the change of owner"),
			Map.entry("PROGRESS_REJECTED", "the table rejects the progress of the job"),
			Map.entry("JOB_UNCONFIRMED", "not confirmed that the owner still owned the pool after the job was stored"),
			Map.entry("RUN_UNCONFIRMED",
					"an earlier run may be active on a worker that has not reported all its runs since"),
			Map.entry("LOSS_UNCONFIRMED", "the loss of an earlier run not confirmed by a renewal"),
			Map.entry("START_UNRESOLVED", "an earlier start may still be executed"),
			Map.entry("RECORDS_NOT_DURABLE", "a crash or start that the next owner has to know of not durable yet"),
			Map.entry("ELIGIBILITY_UNKNOWN", "no reply that tells which workers are eligible"),
			Map.entry("TICKETS_EXPIRED", "room on eligible workers, but their tickets have to be renewed"),
			Map.entry("NO_ELIGIBLE_WORKER", "no eligible worker among those that were asked about"),
			Map.entry("CUSTOMER_LIMIT", "the customer has as much running as its limit allows"),
			Map.entry(NO_CAPACITY, "no eligible worker that accepts work and has enough room"),
			Map.entry("CAPACITY_RESERVED", "free capacity set aside or reserved for gangs"),
			Map.entry("CRASH_ISOLATION", "room only beside other tasks that are suspected to crash their workers"));

	private StepWaitReport() {
	}

	/**
	 * Describe the waits of a job's steps.
	 * @param lines the lines of the job, causes first
	 * @return a sentence for each step that waited, in the order of their first lines
	 */
	static List<String> sentences(List<LogLine> lines) {
		boolean isJobEnded = lines.stream().anyMatch((line) -> line.isEvent(JobDecision.JobEnded.class));
		Map<String, List<LogLine>> bySteps = lines.stream()
			.filter((line) -> !line.step().isEmpty())
			.collect(Collectors.groupingBy(LogLine::step, LinkedHashMap::new, Collectors.toList()));
		List<String> sentences = new ArrayList<>();
		bySteps.forEach((step, stepLines) -> {
			List<LogLine> waits = waitsIn(stepLines);
			if (!waits.isEmpty()) {
				sentences.add("step " + step + ' ' + describe(waits, !isJobEnded && isOpen(stepLines)));
			}
		});
		return sentences;
	}

	/**
	 * Whether lack of room may be what a step waits for.
	 * @param stepLines lines of the step
	 * @return {@code false} if owners logged only other reasons
	 */
	static boolean mayWaitForRoom(List<LogLine> stepLines) {
		List<LogLine> waits = waitsIn(stepLines);
		return waits.isEmpty() || waits.stream().anyMatch((line) -> NO_CAPACITY.equals(line.text("reason")));
	}

	private static List<LogLine> waitsIn(List<LogLine> lines) {
		return lines.stream().filter((line) -> line.isEvent(JobDecision.StepWaiting.class)).toList();
	}

	// A run that becomes active ends a wait. Runs of an earlier owner become active
	// without a line, and show when more runs are over than were active.
	private static boolean isOpen(List<LogLine> stepLines) {
		boolean open = false;
		long active = 0;
		for (LogLine line : stepLines) {
			if (line.isEvent(JobDecision.StepWaiting.class)) {
				open = true;
				active = line.value("running");
			}
			else if (line.isEvent(JobDecision.TaskEnded.class) || line.isEvent(JobDecision.TaskLost.class)) {
				active--;
				open &= active >= 0;
			}
			else if (line.isEvent(JobDecision.TaskPlaced.class) || isAdoption(line)) {
				open = false;
			}
		}
		return open;
	}

	private static boolean isAdoption(LogLine line) {
		return line.isEvent(JobDecision.UnexpectedRun.class) && "true".equals(line.text("adopted"));
	}

	private static String describe(List<LogLine> waits, boolean open) {
		LogLine longest = Collections.max(waits, Comparator.comparingLong((line) -> line.value("waitedMillis")));
		LogLine shown = open ? waits.get(waits.size() - 1) : longest;
		String reason = shown.text("reason");
		String time = seconds(shown.value("waitedMillis"));
		return (open ? "waits" : "waited") + " for " + time + " or longer without a start: " + describeReason(reason)
				+ describeTasks(shown) + describeWorkers(shown) + describeOtherReasons(waits, reason);
	}

	private static String seconds(long millis) {
		return millis / 1000 + "." + millis % 1000 / 100 + " s";
	}

	private static String describeReason(String reason) {
		return DESCRIPTIONS.containsKey(reason) ? DESCRIPTIONS.get(reason) + " (" + reason + ")" : reason;
	}

	private static String describeTasks(LogLine line) {
		long tasks = line.value("tasks");
		long suspected = line.value("suspectedTasks");
		if (tasks == 0) {
			return "; no task that may be started";
		}
		return "; " + tasks + " waiting tasks"
				+ ((suspected > 0) ? ", " + suspected + " of them suspected to crash their workers" : "");
	}

	private static String describeWorkers(LogLine line) {
		return "; " + line.value("acceptingWorkers") + " of " + line.value("eligibleWorkers")
				+ " eligible workers accepting work, with room for " + line.value("freeSlots") + " tasks of the step";
	}

	private static String describeOtherReasons(List<LogLine> waits, String shown) {
		String others = waits.stream()
			.map((line) -> line.text("reason"))
			.filter((reason) -> !reason.equals(shown))
			.distinct()
			.map(StepWaitReport::describeReason)
			.collect(Collectors.joining(", then "));
		return others.isEmpty() ? "" : "; other reasons, in order: " + others;
	}

}
