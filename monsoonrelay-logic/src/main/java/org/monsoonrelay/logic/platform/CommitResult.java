package org.monsoonrelay.logic.platform;

import java.util.Map;

/**
 * Outcome of a transaction as answered by the table. Immutable.
 */
public sealed interface CommitResult {

	/**
	 * All writes took effect.
	 *
	 * @param versions the new version of each row
	 */
	record Committed(Map<String, Long> versions) implements CommitResult {

	}

	/**
	 * No write took effect.
	 *
	 * @param versions the current version of each row whose condition failed, 0 if the
	 * row does not exist
	 */
	record Conflict(Map<String, Long> versions) implements CommitResult {

	}

}
