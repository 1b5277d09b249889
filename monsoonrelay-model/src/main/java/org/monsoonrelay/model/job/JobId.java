package org.monsoonrelay.model.job;

/**
 * Identity of one run of a declared workload. It includes the run label, so that the same
 * name with a new label is a new run. Immutable.
 *
 * @param name the declared name
 * @param run the declared run label; {@code service} for services
 */
public record JobId(String name, String run) implements Comparable<JobId> {

	/**
	 * Run label of services, which have a single run that never ends.
	 */
	public static final String SERVICE_RUN = "service";

	private static final char SEPARATOR = '@';

	/**
	 * Parse the form that {@link #toString()} returns.
	 * @param text the form {@code name@run}
	 * @return the identity
	 * @throws IllegalArgumentException if the text has no separator
	 */
	public static JobId parse(String text) {
		int at = text.lastIndexOf(SEPARATOR);
		if (at <= 0 || at == text.length() - 1) {
			throw new IllegalArgumentException("not a job id (name@run): " + text);
		}
		return new JobId(text.substring(0, at), text.substring(at + 1));
	}

	@Override
	public int compareTo(JobId other) {
		int byName = this.name.compareTo(other.name);
		return (byName != 0) ? byName : this.run.compareTo(other.run);
	}

	@Override
	public String toString() {
		return this.name + SEPARATOR + this.run;
	}

}
