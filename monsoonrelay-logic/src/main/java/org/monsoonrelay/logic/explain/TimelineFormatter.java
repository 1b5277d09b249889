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
 * Formats ordered lines as text. In the condensed form, similar lines are combined into
 * one with the range of each field; the grouping becomes coarser until the result fits
 * into {@link #MAX_CONDENSED_LINES} lines. Stateless and thread-safe.
 */
final class TimelineFormatter {

	/** Lines that the condensed form should not exceed. */
	private static final int MAX_CONDENSED_LINES = 12;

	/** Values of a field that are listed for combined lines; the rest are counted. */
	private static final int MAX_LISTED_VALUES = 2;

	private static final Set<String> OMITTED_FIELDS = Set.of("at", "event", "job");

	private static final List<String> GROUPING_FIELDS = List.of("outcome", "end", "state", "reason", "dependency");

	private TimelineFormatter() {
	}

	static List<String> formatAll(List<EpochLine> lines) {
		return lines.stream().map((entry) -> formatGroup(List.of(entry.line()))).toList();
	}

	static List<String> formatCondensed(List<EpochLine> lines) {
		List<String> text = List.of();
		for (Function<EpochLine, String> grouping : groupings()) {
			Map<String, List<LogLine>> groups = new LinkedHashMap<>();
			lines.forEach((entry) -> groups.computeIfAbsent(grouping.apply(entry), (key) -> new ArrayList<>())
				.add(entry.line()));
			text = groups.values().stream().map(TimelineFormatter::formatGroup).toList();
			if (text.size() <= MAX_CONDENSED_LINES) {
				return text;
			}
		}
		return text;
	}

	private static List<Function<EpochLine, String>> groupings() {
		Function<EpochLine, String> byKind = (entry) -> entry.line().event() + '|' + kind(entry.line());
		Function<EpochLine, String> byEpoch = (entry) -> byKind.apply(entry) + '|' + entry.epoch();
		return List.of(
				(entry) -> byEpoch.apply(entry) + '|' + entry.line().step() + '|' + entry.line().text("attempt") + '|'
						+ entry.line().source(),
				(entry) -> byEpoch.apply(entry) + '|' + entry.line().step(), byEpoch, byKind,
				(entry) -> entry.line().event());
	}

	private static String kind(LogLine line) {
		return String.join("|", GROUPING_FIELDS.stream().map(line::text).toList());
	}

	private static String formatGroup(List<LogLine> group) {
		StringBuilder text = new StringBuilder();
		text.append(abbreviate(group.stream().map(LogLine::source).toList())).append(": ").append(group.get(0).event());
		if (group.size() > 1) {
			text.append(" (").append(group.size()).append(" times)");
		}
		Set<String> names = new LinkedHashSet<>();
		group.forEach((line) -> line.fields().fieldNames().forEachRemaining(names::add));
		names.removeAll(OMITTED_FIELDS);
		for (String name : names) {
			text.append(' ').append(name).append('=').append(formatValues(group, name));
		}
		return text.toString();
	}

	private static String formatValues(List<LogLine> group, String name) {
		List<LogLine> withField = group.stream().filter((line) -> line.hasField(name)).toList();
		if (withField.stream().allMatch((line) -> line.fields().get(name).isNumber())) {
			long minimum = withField.stream().mapToLong((line) -> line.value(name)).min().orElse(0);
			long maximum = withField.stream().mapToLong((line) -> line.value(name)).max().orElse(0);
			return (minimum == maximum) ? Long.toString(minimum) : minimum + ".." + maximum;
		}
		return abbreviate(withField.stream().map((line) -> line.text(name)).map(TimelineFormatter::quoted).toList());
	}

	private static String quoted(String value) {
		return (value.isEmpty() || value.indexOf(' ') >= 0) ? '"' + value + '"' : value;
	}

	private static String abbreviate(List<String> values) {
		Set<String> distinct = new LinkedHashSet<>(values);
		Iterator<String> remaining = distinct.iterator();
		StringBuilder text = new StringBuilder(remaining.next());
		for (int i = 1; i < MAX_LISTED_VALUES && remaining.hasNext(); i++) {
			text.append(',').append(remaining.next());
		}
		int rest = distinct.size() - MAX_LISTED_VALUES;
		return (rest > 0) ? text.append(" and ").append(rest).append(" more").toString() : text.toString();
	}

}
