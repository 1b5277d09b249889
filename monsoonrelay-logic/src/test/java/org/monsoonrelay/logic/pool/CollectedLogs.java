package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.explain.JobTimeline;
import org.monsoonrelay.logic.platform.Json;

/**
 * The decision logs of several processes in the format of a log collector: each line
 * follows a timestamp and the name of its process. The wall clock of each process lags
 * further behind than that of the processes that started before it, so that the order of
 * events cannot be taken from the timestamps. Not thread-safe.
 */
final class CollectedLogs {

	private static final long LAG_MILLIS = 600_000;

	private final Map<String, List<String>> lines = new LinkedHashMap<>();

	private final List<Entry> entries = new ArrayList<>();

	void write(String process, long millis, Decision decision) {
		this.entries.add(new Entry(millis, process, decision));
		List<String> output = this.lines.computeIfAbsent(process, (name) -> new ArrayList<>());
		long at = millis - LAG_MILLIS * List.copyOf(this.lines.keySet()).indexOf(process);
		ObjectNode node = Json.MAPPER.createObjectNode().put("at", at);
		node.put("event", decision.getClass().getSimpleName()).setAll((ObjectNode) Json.MAPPER.valueToTree(decision));
		output.add("2026-12-03T06:00:00Z " + process + " " + node);
	}

	/**
	 * Returns the decisions of all processes in the order in which they were made.
	 * @return the decisions
	 */
	List<Entry> entries() {
		return this.entries;
	}

	/**
	 * Returns what the logs contain about an id, beginning with the process that started
	 * last.
	 * @param id the id
	 * @return the collected log lines
	 */
	JobTimeline story(String id) {
		JobTimeline story = new JobTimeline(id);
		List<String> processes = new ArrayList<>(this.lines.keySet());
		for (int i = processes.size() - 1; i >= 0; i--) {
			this.lines.get(processes.get(i)).forEach((line) -> story.addLine("collected", line));
		}
		return story;
	}

	/**
	 * A decision of a process. Immutable.
	 *
	 * @param millis when it was made, on the virtual clock
	 * @param process the process
	 * @param decision the decision
	 */
	record Entry(long millis, String process, Decision decision) {

	}

}
