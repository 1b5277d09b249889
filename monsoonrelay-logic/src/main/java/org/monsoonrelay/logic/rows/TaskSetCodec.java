package org.monsoonrelay.logic.rows;

import java.util.Base64;
import java.util.BitSet;

/**
 * Writes sets of task numbers as short text: as runs of consecutive numbers, or as a bit
 * set in Base64 if that is shorter. A set of numbers below {@code n} thus takes at most
 * {@code n / 6} characters and a few more. Stateless and thread-safe.
 */
final class TaskSetCodec {

	private static final char RUNS = 'r';

	private static final char BITS = 'b';

	private static final String DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

	/** Each character holds five bits of a number, and whether others follow. */
	private static final int BITS_PER_DIGIT = 5;

	private static final int DIGIT_MASK = 31;

	private static final int CONTINUED = 32;

	private TaskSetCodec() {
	}

	static String encode(BitSet tasks) {
		StringBuilder runs = new StringBuilder().append(RUNS);
		int end = 0;
		for (int first = tasks.nextSetBit(0); first >= 0; first = tasks.nextSetBit(end)) {
			int gap = first - end;
			end = tasks.nextClearBit(first);
			int length = end - first;
			// The lowest bit says whether the length of the run follows.
			append(runs, (gap << 1) | ((length > 1) ? 1 : 0));
			if (length > 1) {
				append(runs, length - 2);
			}
		}
		String bits = BITS + Base64.getUrlEncoder().withoutPadding().encodeToString(tasks.toByteArray());
		return (bits.length() < runs.length()) ? bits : runs.toString();
	}

	private static void append(StringBuilder text, int number) {
		int rest = number;
		while (rest > DIGIT_MASK) {
			text.append(DIGITS.charAt((rest & DIGIT_MASK) | CONTINUED));
			rest >>>= BITS_PER_DIGIT;
		}
		text.append(DIGITS.charAt(rest));
	}

	/**
	 * Reads what {@link #encode(BitSet)} has written.
	 * @param text the text
	 * @param count number of tasks
	 * @return the set
	 * @throws IllegalArgumentException if the text is malformed, or has a number that is
	 * not below the number of tasks
	 */
	static BitSet decode(String text, int count) {
		if (text.isEmpty()) {
			throw new IllegalArgumentException("not a set of tasks");
		}
		BitSet tasks = switch (text.charAt(0)) {
			case RUNS -> new RunReader(text, count).read();
			case BITS -> BitSet.valueOf(Base64.getUrlDecoder().decode(text.substring(1)));
			default -> throw new IllegalArgumentException("not a set of tasks: " + text.charAt(0));
		};
		if (tasks.length() > count) {
			throw new IllegalArgumentException("task " + (tasks.length() - 1) + " of " + count);
		}
		return tasks;
	}

	private static final class RunReader {

		private final String text;

		private final int count;

		private int position = 1;

		RunReader(String text, int count) {
			this.text = text;
			this.count = count;
		}

		BitSet read() {
			BitSet tasks = new BitSet();
			long end = 0;
			while (this.position < this.text.length()) {
				long header = number();
				long first = end + (header >>> 1);
				end = first + 1 + (((header & 1) == 0) ? 0 : 1 + number());
				if (end > this.count) {
					throw new IllegalArgumentException("task " + (end - 1) + " of " + this.count);
				}
				tasks.set((int) first, (int) end);
			}
			return tasks;
		}

		private long number() {
			long number = 0;
			for (int shift = 0; shift < Integer.SIZE; shift += BITS_PER_DIGIT) {
				int digit = (this.position < this.text.length()) ? DIGITS.indexOf(this.text.charAt(this.position++))
						: -1;
				if (digit < 0) {
					break;
				}
				number |= (long) (digit & DIGIT_MASK) << shift;
				if (digit < CONTINUED) {
					return number;
				}
			}
			throw new IllegalArgumentException("not a set of tasks, at character " + this.position);
		}

	}

}
