package org.monsoonrelay.logic.platform;

import org.monsoonrelay.model.submission.QueueConfiguration;

/**
 * The configuration that a process knows. Immutable.
 *
 * @param configuration the configuration
 * @param ageMillis time since the table last confirmed it, in milliseconds, or
 * {@link #UNKNOWN_AGE}: later versions may have come into force within it
 */
public record KnownConfiguration(QueueConfiguration configuration, long ageMillis) {

	/**
	 * Age up to which the configuration counts as current, in milliseconds: a change has
	 * to take effect within 2 s, less the time to answer a request.
	 */
	public static final long MAX_AGE_MILLIS = 1900;

	/** The age if the table has not confirmed a configuration yet. */
	public static final long UNKNOWN_AGE = -1;

	/**
	 * The version of the configuration.
	 * @return the version, 0 if none is known
	 */
	public long version() {
		return this.configuration.version();
	}

	/**
	 * Whether a change that has to be in force may be missing.
	 * @return {@code true} if the table has not confirmed the configuration recently
	 */
	public boolean mayBeOutdated() {
		return this.ageMillis > MAX_AGE_MILLIS;
	}

}
