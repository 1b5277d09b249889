package org.monsoonrelay.model.submission;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Consecutive occurrences of a job. Invariant: there is at least one. Immutable.
 *
 * @param first number of the first one
 * @param last number of the last one
 */
record OccurrenceRange(int first, int last) {

	private static final Pattern NAME = Pattern.compile("(\\d{1,9})-(\\d{1,9})");

	OccurrenceRange {
		if (first < 0 || last < first) {
			throw new IllegalArgumentException("not a range of occurrences: " + first + " to " + last);
		}
	}

	/**
	 * Parses the form that {@link #name()} returns.
	 * @param name the form {@code first-last}
	 * @return the range, empty if the text is none
	 */
	static Optional<OccurrenceRange> parse(String name) {
		Matcher matcher = NAME.matcher(name);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		int first = Integer.parseInt(matcher.group(1));
		int last = Integer.parseInt(matcher.group(2));
		return (last < first) ? Optional.empty() : Optional.of(new OccurrenceRange(first, last));
	}

	/**
	 * Divides a set of occurrences into ranges.
	 * @param occurrences numbers of the occurrences
	 * @return the longest ranges, in ascending order
	 */
	static List<OccurrenceRange> of(BitSet occurrences) {
		List<OccurrenceRange> ranges = new ArrayList<>();
		int first = occurrences.nextSetBit(0);
		while (first >= 0) {
			int end = occurrences.nextClearBit(first);
			ranges.add(new OccurrenceRange(first, end - 1));
			first = occurrences.nextSetBit(end);
		}
		return ranges;
	}

	String name() {
		return this.first + "-" + this.last;
	}

}
