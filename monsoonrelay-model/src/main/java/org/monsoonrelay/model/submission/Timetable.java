package org.monsoonrelay.model.submission;

/**
 * Due times of the occurrences of a job. Immutable.
 *
 * @param firstDueMillis when occurrence 0 is due, epoch milliseconds; 0 for immediately
 * @param intervalMillis time from one occurrence to the next, milliseconds
 * @param occurrences number of occurrences, at least 1
 */
public record Timetable(long firstDueMillis, long intervalMillis, int occurrences) {

	/** One occurrence, which is due immediately. */
	public static final Timetable AT_ONCE = new Timetable(0, 0, 1);

	public Timetable {
		if (occurrences < 1 || intervalMillis < 0) {
			throw new IllegalArgumentException("not a timetable: " + occurrences + " times, " + intervalMillis + " ms");
		}
	}

	/**
	 * Due time of an occurrence.
	 * @param occurrence number of the occurrence, from 0
	 * @return epoch milliseconds
	 */
	public long dueMillis(int occurrence) {
		return this.firstDueMillis + occurrence * this.intervalMillis;
	}

}
