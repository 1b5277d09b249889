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
final class StoryText {

	/** Lines that a story should fit into. */
	private static final int A_DOZEN = 12;

	/** Values of a folded field that are named. */
	private static final int NAMED = 2;

	private static final Set<String> UNTOLD = Set.of("at", "event", "job");

	private static final List<String> KINDS = List.of("outcome", "end", "state", "reason", "dependency");

	private StoryText() {
	}

	static List<String> whole(List<Told> lines) {
		return lines.stream().map((told) -> text(List.of(told.line()))).toList();
	}

	static List<String> folded(List<Told> lines) {
		List<String> text = List.of();
		for (Function<Told, String> likeness : likenesses()) {
			Map<String, List<LogLine>> alike = new LinkedHashMap<>();
			lines.forEach(
					(told) -> alike.computeIfAbsent(likeness.apply(told), (key) -> new ArrayList<>()).add(told.line()));
			text = alike.values().stream().map(StoryText::text).toList();
			if (text.size() <= A_DOZEN) {
				return text;
			}
		}
		return text;
	}

	private static List<Function<Told, String>> likenesses() {
		Function<Told, String> byKind = (told) -> told.line().event() + '|' + kind(told.line());
		Function<Told, String> byEpoch = (told) -> byKind.apply(told) + '|' + told.epoch();
		return List.of(
				(told) -> byEpoch.apply(told) + '|' + told.line().step() + '|' + told.line().text("attempt") + '|'
						+ told.line().source(),
				(told) -> byEpoch.apply(told) + '|' + told.line().step(), byEpoch, byKind,
				(told) -> told.line().event());
	}

	private static String kind(LogLine line) {
		return String.join("|", KINDS.stream().map(line::text).toList());
	}

	private static String text(List<LogLine> alike) {
		StringBuilder text = new StringBuilder();
		text.append(named(alike.stream().map(LogLine::source).toList())).append(": ").append(alike.get(0).event());
		if (alike.size() > 1) {
			text.append(" (").append(alike.size()).append(" times)");
		}
		Set<String> names = new LinkedHashSet<>();
		alike.forEach((line) -> line.fields().fieldNames().forEachRemaining(names::add));
		names.removeAll(UNTOLD);
		for (String name : names) {
			text.append(' ').append(name).append('=').append(values(alike, name));
		}
		return text.toString();
	}

	private static String values(List<LogLine> alike, String name) {
		List<LogLine> having = alike.stream().filter((line) -> line.has(name)).toList();
		if (having.stream().allMatch((line) -> line.fields().get(name).isNumber())) {
			long least = having.stream().mapToLong((line) -> line.value(name)).min().orElse(0);
			long most = having.stream().mapToLong((line) -> line.value(name)).max().orElse(0);
			return (least == most) ? Long.toString(least) : least + ".." + most;
		}
		return named(having.stream().map((line) -> line.text(name)).map(StoryText::quoted).toList());
	}

	private static String quoted(String value) {
		return (value.isEmpty() || value.indexOf(' ') >= 0) ? '"' + value + '"' : value;
	}

	private static String named(List<String> values) {
		Set<String> different = new LinkedHashSet<>(values);
		Iterator<String> each = different.iterator();
		StringBuilder text = new StringBuilder(each.next());
		for (int i = 1; i < NAMED && each.hasNext(); i++) {
			text.append(',').append(each.next());
		}
		int rest = different.size() - NAMED;
		return (rest > 0) ? text.append(" and ").append(rest).append(" more").toString() : text.toString();
	}

}
