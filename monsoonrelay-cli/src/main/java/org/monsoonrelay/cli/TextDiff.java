package org.monsoonrelay.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.monsoonrelay.logic.platform.Json;

/**
 * What one text changes against another, by declared name. Stateless and thread-safe.
 */
final class TextDiff {

	private static final List<String> SECTIONS = List.of("teams", "services", "batchRuns", "jobs");

	private TextDiff() {
	}

	static List<String> between(String before, String after) {
		JsonNode old = Json.read(before, JsonNode.class);
		JsonNode next = Json.read(after, JsonNode.class);
		List<String> lines = new ArrayList<>();
		for (String section : SECTIONS) {
			compare(section, byName(old.path(section)), byName(next.path(section)), lines);
		}
		if (!old.path("policy").equals(next.path("policy"))) {
			lines.add("~ policy");
		}
		if (lines.isEmpty()) {
			lines.add("no change");
		}
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
			else if (!old.get(name).equals(declared)) {
				lines.add("~ " + section + " " + name);
			}
		});
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
