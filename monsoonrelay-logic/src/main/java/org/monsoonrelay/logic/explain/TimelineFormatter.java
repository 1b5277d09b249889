package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Writes ordered lines as text. Alike ones are folded into one, with the range of each of
 * their inputs, until there are a dozen. Stateless and thread-safe.
 */
final class TimelineFormatter {

	/** Lines that a story should fit into. */
	private static final int MAX_CONDENSED_LINES = 12;

	/** Values of a folded field that are named. */
	private static final int MAX_LISTED_VALUES = 2;

	private static final Set<String> OMITTED_FIELDS = Set.of("at", "event", "job");

	private static final List<String> GROUPING_FIELDS = List.of("outcome", "end", "state", "reason", "dependency");

	private TimelineFormatter() {
	}

	static List<String> formatAll(List<EpochLine> lines) {
		return lines.stream().map((told) -> formatGroup(List.of(told.line()))).toList();
	}

	static List<String> formatCondensed(List<EpochLine> lines) {
		List<String> text = List.of();
		for (Function<EpochLine, String> likeness : groupings()) {
			Map<String, List<LogLine>> alike = new LinkedHashMap<>();
			lines.forEach(
					(told) -> alike.computeIfAbsent(likeness.apply(told), (key) -> new ArrayList<>()).add(told.line()));
			text = alike.values().stream().map(TimelineFormatter::formatGroup).toList();
			if (text.size() <= MAX_CONDENSED_LINES) {
				return text;
			}
		}
		return text;
	}

	private static List<Function<EpochLine, String>> groupings() {
		Function<EpochLine, String> byKind = (told) -> told.line().event() + '|' + kind(told.line());
		Function<EpochLine, String> byEpoch = (told) -> byKind.apply(told) + '|' + told.epoch();
		return List.of(
				(told) -> byEpoch.apply(told) + '|' + told.line().step() + '|' + told.line().text("attempt") + '|'
						+ told.line().source(),
				(told) -> byEpoch.apply(told) + '|' + told.line().step(), byEpoch, byKind,
				(told) -> told.line().event());
	}

	private static String kind(LogLine line) {
		return String.join("|", GROUPING_FIELDS.stream().map(line::text).toList());
	}

	private static String formatGroup(List<LogLine> alike) {
		StringBuilder text = new StringBuilder();
		text.append(abbreviate(alike.stream().map(LogLine::source).toList())).append(": ").append(alike.get(0).event());
		if (alike.size() > 1) {
			text.append(" (").append(alike.size()).append(" times)");
		}
		Set<String> names = new LinkedHashSet<>();
		alike.forEach((line) -> line.fields().fieldNames().forEachRemaining(names::add));
		names.removeAll(OMITTED_FIELDS);
		for (String name : names) {
			text.append(' ').append(name).append('=').append(formatValues(alike, name));
		}
		return text.toString();
	}

	private static String formatValues(List<LogLine> alike, String name) {
		List<LogLine> having = alike.stream().filter((line) -> line.hasField(name)).toList();
		if (having.stream().allMatch((line) -> line.fields().get(name).isNumber())) {
			long least = having.stream().mapToLong((line) -> line.value(name)).min().orElse(0);
			long most = having.stream().mapToLong((line) -> line.value(name)).max().orElse(0);
			return (least == most) ? Long.toString(least) : least + ".." + most;
		}
		return abbreviate(having.stream().map((line) -> line.text(name)).map(TimelineFormatter::quoted).toList());
	}

	private static String quoted(String value) {
		return (value.isEmpty() || value.indexOf(' ') >= 0) ? '"' + value + '"' : value;
	}

	private static String abbreviate(List<String> values) {
		Set<String> different = new LinkedHashSet<>(values);
		Iterator<String> each = different.iterator();
		StringBuilder text = new StringBuilder(each.next());
		for (int i = 1; i < MAX_LISTED_VALUES && each.hasNext(); i++) {
			text.append(',').append(each.next());
		}
		int rest = different.size() - MAX_LISTED_VALUES;
		return (rest > 0) ? text.append(" and ").append(rest).append(" more").toString() : text.toString();
	}

}
