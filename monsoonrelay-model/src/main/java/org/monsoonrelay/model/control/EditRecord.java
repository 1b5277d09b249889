package org.monsoonrelay.model.control;

import java.time.Instant;
import java.util.List;

/**
 * One entry of the audit trail. Immutable; the entry of an accepted edit is written in
 * the same transaction as the {@link ControlHead} that it created.
 *
 * @param version version that the edit created, or that was in force when the edit was
 * rejected
 * @param editId identity of the edit
 * @param kind kind of the edit
 * @param operator the operator who made the edit
 * @param at when the edit was decided, by the clock of the process that wrote the record;
 * for display only, because clocks of different hosts are not compared
 * @param targets the cancelled jobs or stopped workloads, empty for a configuration text
 * @param stateDigest digest of the control state in force after the edit
 * @param result result of the edit
 */
public record EditRecord(long version, String editId, EditKind kind, String operator, Instant at, List<String> targets,
		String stateDigest, EditResult result) {

	public EditRecord {
		targets = List.copyOf(targets);
	}

}
