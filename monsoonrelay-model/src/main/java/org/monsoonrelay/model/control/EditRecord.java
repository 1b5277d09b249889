package org.monsoonrelay.model.control;

import java.time.Instant;
import java.util.List;

/**
 * One entry of the audit trail. Immutable; written in the same transaction as the head
 * that it made.
 *
 * @param version the version the edit made
 * @param editId identity of the edit
 * @param kind what it does
 * @param operator who did it
 * @param at when the edit was accepted, by the clock of the process that wrote it; for
 * people only, nothing compares it
 * @param targets what was cancelled or stopped, empty for a text
 * @param stateDigest digest of the state in force after it
 */
public record EditRecord(long version, String editId, EditKind kind, String operator, Instant at, List<String> targets,
		String stateDigest) {

	public EditRecord {
		targets = List.copyOf(targets);
	}

}
