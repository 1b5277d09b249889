package org.monsoonrelay.logic.submission;

/**
 * The number of jobs that wait in a queue, as far as a host knows, and what that rests
 * on. Immutable.
 *
 * @param jobs the number
 * @param rowVersion version of the write that counted them, 0 if there was none
 * @param source how this host received it
 * @param ageMillis time within which they were counted, milliseconds, or {@link #UNKNOWN}
 * @param receivedMillis time since this host received the count, milliseconds, or
 * {@link #UNKNOWN}
 * @param copyAgeMillis time since the table confirmed this host's copy of what owners
 * write, milliseconds, or {@link #UNKNOWN}
 */
public record WaitingJobs(int jobs, long rowVersion, CountSource source, long ageMillis, long receivedMillis,
		long copyAgeMillis) {

	/** There was no such event yet. */
	public static final long UNKNOWN = -1;

	/**
	 * Age up to which a count counts as current, milliseconds: a job has to be counted 5
	 * s after it was accepted, and an owner that was not told of it takes up to 1.5 s to
	 * learn of it from the table.
	 */
	public static final long MAX_AGE_MILLIS = 3500;

	/**
	 * Whether jobs that have to be counted may be missing.
	 * @return {@code true} if no owner is known to have counted recently
	 */
	public boolean mayBeOutdated() {
		return this.ageMillis == UNKNOWN || this.ageMillis > MAX_AGE_MILLIS;
	}

}
