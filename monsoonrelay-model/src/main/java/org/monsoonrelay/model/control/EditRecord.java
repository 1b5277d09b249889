package org.monsoonrelay.model.control;

import java.time.Instant;
import java.util.List;

/**
 * One entry of the audit trail. Immutable; the entry of an accepted edit is written in
 * the same transaction as the head that it made.
 *
 * @param version the version the edit made, or that stood when it was turned down
 * @param editId identity of the edit
 * @param kind what it does
 * @param operator who did it
 * @param at when the edit was decided, by the clock of the process that wrote it; for
 * people only, nothing compares it
 * @param targets what was cancelled or stopped, empty for a text
 * @param stateDigest digest of the state in force after it
 * @param result what became of it
 */
public record EditRecord(long version, String editId, EditKind kind, String operator, Instant at, List<String> targets,
		String stateDigest, EditResult result) {

	public EditRecord {
		targets = List.copyOf(targets);
	}

}
