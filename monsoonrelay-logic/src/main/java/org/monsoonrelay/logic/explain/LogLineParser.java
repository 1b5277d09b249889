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
 * Reads one line of output. What stands before the JSON, such as a collector's time and
 * host name, names the process; in an input without that, the process is the one that
 * last said it has started. A line that has lost its beginning alone is nobody's. Not
 * thread-safe: lines of one input are to be read in their order.
 */
final class LogLineParser {

	/** Process of a line that has lost what names it. */
	static final String UNKNOWN_SOURCE = "?";

	/** Braces in what stands before the JSON that are passed over, at most. */
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
	 * Create a reader.
	 * @param input name of the input
	 */
	LogLineParser(String input) {
		this.input = input;
	}

	/**
	 * Read a line.
	 * @param text the line
	 * @param number its place among all lines
	 * @return the decision, empty if there is none or it is cut
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
			// The caller counts what is cut.
			return null;
		}
	}

	private String source(String prefix, JsonNode node) {
		if ("ProcessStarted".equals(node.path(EVENT).asText())) {
			this.lastStartedHost = node.path("host").asText("");
		}
		List<String> words = new ArrayList<>();
		for (String word : prefix.trim().split("\\s+")) {
			if (canBeName(word)) {
				words.add(word.endsWith(":") ? word.substring(0, word.length() - 1) : word);
			}
		}
		if (!words.isEmpty()) {
			// More of them are the rest of a line that was cut.
			boolean isWhole = this.prefixNameCount == 0 || words.size() <= this.prefixNameCount;
			this.prefixNameCount = isWhole ? words.size() : this.prefixNameCount;
			return String.join(" ", words.subList(words.size() - this.prefixNameCount, words.size()));
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
