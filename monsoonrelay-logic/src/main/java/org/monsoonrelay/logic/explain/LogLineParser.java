package org.monsoonrelay.logic.explain;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;

/**
 * Parses the lines of one input. The names in the prefix before the JSON, such as the
 * host name that a log collector adds, identify the process. In an input without
 * prefixes, the process is the one that last logged its start. A line that lacks its
 * prefix in an input with prefixes was truncated at its beginning, and its source is
 * {@link #UNKNOWN_SOURCE}. Not thread-safe: the lines of an input have to be parsed in
 * their order.
 */
final class LogLineParser {

	/** Source of a line whose prefix was truncated. */
	static final String UNKNOWN_SOURCE = "?";

	/** Opening braces that are tried as the beginning of the JSON, at most. */
	private static final int MAX_BRACES = 4;

	private static final String EVENT = "event";

	private static final Pattern IP_ADDRESS = Pattern.compile("\\d+(\\.\\d+){3}(:\\d+)?");

	private static final Pattern TIME_ZONE = Pattern.compile("Z|UTC|GMT|CET|CEST");

	private static final Set<String> DAY_AND_MONTH_NAMES = Set.of("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun",
			"Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec");

	private final ObjectReader reader = new ObjectMapper().reader();

	private final String input;

	private String lastStartedHost = "";

	private int prefixNameCount;

	/**
	 * Create a parser.
	 * @param input name of the input
	 */
	LogLineParser(String input) {
		this.input = input;
	}

	/**
	 * Parse a line.
	 * @param text the line
	 * @param number position of the line among all lines
	 * @return the decision, empty if the line has none or is truncated
	 */
	Optional<LogLine> parse(String text, long number) {
		int brace = text.indexOf("{\"");
		for (int i = 0; i < MAX_BRACES && brace >= 0; i++) {
			JsonNode node = parseJson(text.substring(brace));
			if (node != null && node.path(EVENT).isTextual()) {
				return Optional
					.of(new LogLine(source(text.substring(0, brace), node), number, node.path(EVENT).asText(), node));
			}
			brace = text.indexOf("{\"", brace + 1);
		}
		return Optional.empty();
	}

	private JsonNode parseJson(String json) {
		try {
			return this.reader.readTree(json);
		}
		catch (IOException ex) {
			// Truncated JSON: the caller counts such lines.
			return null;
		}
	}

	private String source(String prefix, JsonNode node) {
		if ("ProcessStarted".equals(node.path(EVENT).asText())) {
			this.lastStartedHost = node.path("host").asText("");
		}
		List<String> names = new ArrayList<>();
		for (String word : prefix.trim().split("\\s+")) {
			if (canBeName(word)) {
				names.add(word.endsWith(":") ? word.substring(0, word.length() - 1) : word);
			}
		}
		if (!names.isEmpty()) {
			// Additional names are the remainder of a truncated line before this one.
			boolean isComplete = this.prefixNameCount == 0 || names.size() <= this.prefixNameCount;
			this.prefixNameCount = isComplete ? names.size() : this.prefixNameCount;
			return String.join(" ", names.subList(names.size() - this.prefixNameCount, names.size()));
		}
		if (this.prefixNameCount > 0) {
			return UNKNOWN_SOURCE;
		}
		return this.lastStartedHost.isEmpty() ? this.input : this.lastStartedHost;
	}

	private static boolean canBeName(String word) {
		if (word.isEmpty() || DAY_AND_MONTH_NAMES.contains(word) || TIME_ZONE.matcher(word).matches()) {
			return false;
		}
		return Character.isLetter(word.charAt(0)) || IP_ADDRESS.matcher(word).matches();
	}

}
