package org.monsoonrelay.logic.platform;

/**
 * One conditional write in a transaction. Immutable.
 *
 * @param key the row's key
 * @param value the new value, JSON text
 * @param expectedVersion the version that the row must have, {@link #ABSENT} if the row
 * must not exist
 */
public record ConditionalWrite(String key, String value, long expectedVersion) {

	/**
	 * Expected version of a row that must not exist.
	 */
	public static final long ABSENT = 0;

}
