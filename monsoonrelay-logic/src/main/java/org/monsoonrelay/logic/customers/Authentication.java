package org.monsoonrelay.logic.customers;

/**
 * What a host makes of the key of a request. Immutable.
 */
public sealed interface Authentication {

	/**
	 * The request may be served.
	 *
	 * @param caller on whose behalf it acts
	 */
	record Accepted(Caller caller) implements Authentication {

	}

	/**
	 * The key belongs to no customer of the known configuration, which may lag behind a
	 * change that added it.
	 */
	record UnknownKey() implements Authentication {

	}

	/**
	 * No configuration would accept the request.
	 *
	 * @param reason the reason for the caller
	 */
	record Rejected(String reason) implements Authentication {

	}

	/**
	 * The known configuration is too old to tell; nothing is run.
	 */
	record MayBeOutdated() implements Authentication {

	}

}
