package org.monsoonrelay.logic.submission;

/**
 * The number of jobs that wait in a queue, as far as a host knows, and what that rests
 * on. Immutable.
 *
 * @param jobs the number
 * @param rowVersion version of the write that counted them, 0 if there was none
 * @param source how this host received it
 * @param receivedMillis time since it was received, milliseconds, or {@link #UNKNOWN}
 * @param copyAgeMillis time since the table confirmed this host's copy of what owners
 * write, milliseconds, or {@link #UNKNOWN}
 */
public record WaitingJobs(int jobs, long rowVersion, CountSource source, long receivedMillis, long copyAgeMillis) {

	/** There was no such event yet. */
	public static final long UNKNOWN = -1;

}
