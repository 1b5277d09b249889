package org.monsoonrelay.logic.events;

import java.util.Optional;

/**
 * The release of the running program. Stateless and thread-safe.
 */
public final class Release {

	/** The release of classes that were not packaged by {@code deploy/build.sh}. */
	public static final String UNKNOWN = "unknown";

	private Release() {
	}

	/**
	 * Returns the release that the manifest of the program names.
	 * @return the digest of the sources that the program was built from, as
	 * {@code deploy/sources-digest.sh} prints it, or {@link #UNKNOWN}
	 */
	public static String current() {
		return Optional.ofNullable(Release.class.getPackage().getImplementationVersion()).orElse(UNKNOWN);
	}

}
