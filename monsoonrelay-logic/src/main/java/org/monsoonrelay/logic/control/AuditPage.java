package org.monsoonrelay.logic.control;

import java.util.List;

import org.monsoonrelay.model.control.EditRecord;

/**
 * Part of the audit trail. Immutable.
 *
 * @param entries the entries, oldest first
 * @param next after what the next page begins, empty if the trail ends here
 */
public record AuditPage(List<EditRecord> entries, String next) {

	public AuditPage {
		entries = List.copyOf(entries);
	}

}
