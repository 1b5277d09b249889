package org.monsoonrelay.logic.control;

import java.util.List;

import org.monsoonrelay.model.control.EditRecord;

/**
 * A page of the audit trail. Immutable.
 *
 * @param entries the entries, oldest first
 * @param next position after which the next page starts, empty if this is the last page
 */
public record AuditPage(List<EditRecord> entries, String next) {

	public AuditPage {
		entries = List.copyOf(entries);
	}

}
