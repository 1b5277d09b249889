package org.monsoonrelay.model.submission;

/**
 * When the occurrences of a job are due. Immutable.
 *
 * @param firstDueMillis when occurrence 0 is due, epoch milliseconds; 0 for at once
 * @param intervalMillis time from one occurrence to the next, milliseconds
 * @param occurrences how many there are, at least 1
 */
public record Timetable(long firstDueMillis, long intervalMillis, int occurrences) {

	/** One occurrence, due at once. */
	public static final Timetable AT_ONCE = new Timetable(0, 0, 1);

	public Timetable {
		if (occurrences < 1 || intervalMillis < 0) {
			throw new IllegalArgumentException("not a timetable: " + occurrences + " times, " + intervalMillis + " ms");
		}
	}

	/**
	 * When an occurrence is due.
	 * @param occurrence its number, from 0
	 * @return epoch milliseconds
	 */
	public long dueMillis(int occurrence) {
		return this.firstDueMillis + occurrence * this.intervalMillis;
	}

}
