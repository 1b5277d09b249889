package org.monsoonrelay.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.logic.platform.Json;

/**
 * What one text changes against another, by declared name. Stateless and thread-safe.
 */
final class TextDiff {

	private static final List<String> SECTIONS = List.of("teams", "services", "batchRuns", "jobs");

	private TextDiff() {
	}

	/**
	 * What a text changes, empty if nothing.
	 * @param present what is in force
	 * @param after the new text
	 * @return a line for each change
	 */
	static List<String> between(StateMessage present, String after) {
		JsonNode old = Json.read(present.text(), JsonNode.class);
		JsonNode next = Json.read(after, JsonNode.class);
		List<String> lines = new ArrayList<>();
		fields("", old.path("cell"), next.path("cell"), "~ cell", lines);
		fields("", old.path("policy"), next.path("policy"), "~ policy", lines);
		for (String section : SECTIONS) {
			compare(section, byName(old.path(section)), byName(next.path(section)), lines);
		}
		present.stopped().forEach((name) -> lines.add("~ no longer stopped: " + name));
		return lines;
	}

	private static void compare(String section, Map<String, JsonNode> old, Map<String, JsonNode> next,
			List<String> lines) {
		old.keySet()
			.stream()
			.filter((name) -> !next.containsKey(name))
			.forEach((name) -> lines.add("- " + section + " " + name));
		next.forEach((name, declared) -> {
			if (!old.containsKey(name)) {
				lines.add("+ " + section + " " + name);
			}
			else {
				fields("", old.get(name), declared, "~ " + section + " " + name, lines);
			}
		});
	}

	private static void fields(String pointer, JsonNode old, JsonNode next, String label, List<String> lines) {
		if (old.equals(next)) {
			return;
		}
		if (!old.isObject() || !next.isObject()) {
			lines.add(label + " " + pointer + ": " + show(old) + " -> " + show(next));
			return;
		}
		Set<String> names = new TreeSet<>();
		old.fieldNames().forEachRemaining(names::add);
		next.fieldNames().forEachRemaining(names::add);
		names.forEach((name) -> fields(pointer + "/" + name, old.path(name), next.path(name), label, lines));
	}

	private static String show(JsonNode value) {
		return value.isMissingNode() ? "nothing" : value.toString();
	}

	private static Map<String, JsonNode> byName(JsonNode section) {
		Map<String, JsonNode> entries = new LinkedHashMap<>();
		section.forEach((entry) -> {
			String run = entry.path("run").asText("");
			entries.put(entry.path("name").asText() + (run.isEmpty() ? "" : "@" + run), entry);
		});
		return entries;
	}

}
