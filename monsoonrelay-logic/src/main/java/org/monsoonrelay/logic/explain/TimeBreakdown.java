package org.monsoonrelay.logic.explain;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.JobDecision;

/**
 * Breaks the total time of a job that has ended down into phases. The duration of each
 * phase was measured by one process; none is computed from the wall clocks of two hosts.
 */
final class TimeBreakdown {

	private final List<LogLine> lines;

	private final LogLine end;

	/**
	 * Create the breakdown of a job.
	 * @param lines the lines of the job, causes first
	 * @param end the line that reports the end of the job
	 */
	TimeBreakdown(List<LogLine> lines, LogLine end) {
		this.lines = lines;
		this.end = end;
	}

	String text() {
		long late = this.end.value("lateMillis");
		String state = this.end.text("state") + " after " + this.end.value("ageMillis") + " ms, "
				+ ((late > 0) ? late + " ms late" : -late + " ms in time");
		Map<String, Long> durations = durations();
		if (durations.isEmpty()) {
			return state;
		}
		String most = durations.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
		return state + ": "
				+ durations.entrySet()
					.stream()
					.map((phase) -> phase.getValue() + " ms " + phase.getKey())
					.collect(Collectors.joining(", "))
				+ "; the most of it " + most + longestRunAndRepeatedStarts();
	}

	private Map<String, Long> durations() {
		Map<String, Long> durations = new LinkedHashMap<>();
		long loaded = all(JobDecision.JobLearnt.class).stream()
			.mapToLong((line) -> line.value("ageMillis"))
			.findFirst()
			.orElse(-1);
		LogLine placed = all(JobDecision.TaskPlaced.class).stream()
			.min(Comparator.comparingLong((line) -> line.value("waitedMillis")))
			.orElse(null);
		if (placed == null) {
			return durations;
		}
		long first = placed.value("waitedMillis");
		long wait = Math.max(0, first - Math.max(0, loaded));
		long queued = Math.min(wait, sumOfEligibilityField(placed, "queuedMillis"));
		long inCalls = Math.min(wait - queued, sumOfEligibilityField(placed, "tookMillis"));
		if (loaded >= 0) {
			durations.put("until an owner learnt of it", loaded);
		}
		if (queued > 0) {
			durations.put("until a host had time to ask who may run its first step", queued);
		}
		durations.put("in calls for who may run its first step", inCalls);
		durations.put(waitsForRoom(placed) ? "waiting for room before its first start" : "waiting for its first start",
				wait - queued - inCalls);
		durations.put("from its first start to its end", this.end.value("ageMillis") - first);
		return durations;
	}

	private boolean waitsForRoom(LogLine placed) {
		return StepWaitReport.mayWaitForRoom(this.lines.stream()
			.filter((line) -> line.step().equals(placed.step()) && line.source().equals(placed.source())
					&& line.number() < placed.number())
			.toList());
	}

	private long sumOfEligibilityField(LogLine placed, String field) {
		return all(JobDecision.EligibilityAnswered.class).stream()
			.filter((line) -> line.step().equals(placed.step()) && line.number() < placed.number())
			.mapToLong((line) -> line.value(field))
			.sum();
	}

	private String longestRunAndRepeatedStarts() {
		long longest = all(JobDecision.TaskEnded.class).stream()
			.mapToLong((line) -> line.value("ranMillis"))
			.max()
			.orElse(-1);
		long tasks = all(JobDecision.TaskPlaced.class).stream().map((line) -> line.text("task")).distinct().count();
		long starts = all(JobDecision.TaskPlaced.class).size();
		StringBuilder text = new StringBuilder();
		if (longest >= 0) {
			text.append("; its longest run took ").append(longest).append(" ms");
		}
		if (starts > tasks) {
			text.append("; ").append(starts - tasks).append(" of ").append(starts).append(" starts were repeats (");
			Map<String, Long> ends = all(JobDecision.TaskEnded.class).stream()
				.filter((line) -> !"DONE".equals(line.text("end")))
				.collect(Collectors.groupingBy((line) -> line.text("end"), LinkedHashMap::new, Collectors.counting()));
			long lost = all(JobDecision.TaskLost.class).size();
			if (lost > 0) {
				ends.put("lost", lost);
			}
			text.append(ends).append(')');
		}
		return text.toString();
	}

	private List<LogLine> all(Class<?> decision) {
		return this.lines.stream().filter((line) -> line.isEvent(decision)).toList();
	}

}
